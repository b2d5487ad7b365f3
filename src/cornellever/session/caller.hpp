#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cornellever/accounts/key_digest.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/commit_positions.hpp"
#include "cornellever/sql/reply.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A request to open a session. The caller that sends it is a client application connected to the proxy, or another
/// proxy that relays a session.
struct session_opening {
    std::string database;
    /// True if another proxy sent this request on behalf of one of its callers. The session is then not relayed a
    /// second time.
    bool relayed{false};
    /// The log position of the session's last commit at the service that the relaying proxy routes the database to; set
    /// only for relayed sessions. Earlier versions know only this one.
    std::optional<sql::log_position> last_commit{};
    /// The log positions of the session's last commits at all services; set only for relayed sessions.
    commit_positions last_commits{};
    /// Whether the relaying proxy wants each reply to name the service of a commit.
    bool names_services{false};
    /// Digest of the caller's API key.
    accounts::key_digest key{};
    /// For relayed sessions, the version of the configuration in force at the relaying proxy. This proxy waits briefly
    /// for that version, since an older configuration may not contain the key.
    std::uint64_t config_version{0};
};

/// Input that violates the protocol; `why` is sent back to the caller.
struct malformed_input {
    std::string why;
};

/// The caller ended the session, or the connection to the caller was lost.
struct caller_disconnected {};

/// The caller sent nothing before the deadline that was passed to `caller_channel::next`.
struct caller_timed_out {};

using caller_event =
    std::variant<session_opening, sql::request, malformed_input, caller_disconnected, caller_timed_out>;

/// The connection of one caller. `next` waits for input until a deadline, `accept` opens the session, `refuse`
/// rejects it, and `send` writes a reply.
template <typename T>
concept caller_channel = requires(T caller, boot_clock::time_point until, const sql::reply& answer,
                                  const sql::statement_error& error) {
    { caller.next(until) } -> std::same_as<asio::awaitable<caller_event>>;
    {caller.accept()};
    {caller.send(answer)};
    {caller.refuse(error)};
    {caller.close()};
};

} // namespace cornellever::session
