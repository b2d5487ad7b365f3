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
#include "cornellever/sql/reply.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A request to open a session.
struct session_opening {
    std::string database;
    /// Sent by another proxy on behalf of its caller. Such a session is not
    /// relayed a second time.
    bool relayed{false};
    /// For relayed sessions: the position of the session's last commit.
    std::optional<sql::log_position> last_commit{};
    /// Digest of the caller's API key.
    accounts::key_digest key{};
    /// For relayed sessions: the configuration version under which the relaying
    /// proxy accepted the key.
    std::uint64_t config_version{0};
};

/// Input that violates the protocol; `why` is sent back to the caller.
struct malformed_input {
    std::string why;
};

/// The caller ended its session or its connection was lost.
struct caller_disconnected {};

/// The caller sent nothing before the deadline passed to `next`.
struct caller_timed_out {};

using caller_event =
    std::variant<session_opening, sql::request, malformed_input, caller_disconnected, caller_timed_out>;

/// The connection of one caller: `next` waits for input, `accept` opens and
/// `refuse` rejects the session, `send` writes a reply.
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
