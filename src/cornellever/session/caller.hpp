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

/// A caller opens its session.
struct session_opening {
    std::string database;
    /// Another proxy relays it and must not be relayed to in turn.
    bool relayed{false};
    /// Of a relayed session: the position of its last commit at another proxy.
    std::optional<sql::log_position> last_commit{};
    /// Stands for the caller's key.
    accounts::key_digest key{};
    /// Of a relayed session: the configuration by which the other proxy took
    /// the key for good.
    std::uint64_t config_version{0};
};

/// Input that is none of the protocol's.
struct malformed_input {
    std::string why;
};

/// The caller ended its session or its connection is gone.
struct caller_disconnected {};

/// The caller sent nothing until the time given.
struct caller_timed_out {};

using caller_event =
    std::variant<session_opening, sql::request, malformed_input, caller_disconnected, caller_timed_out>;

/// The connection of one caller.
template <typename T>
concept caller_channel = requires(T caller, boot_clock::time_point until, const sql::reply& answer,
                                  const sql::statement_error& error) {
    { caller.next(until) } -> std::same_as<asio::awaitable<caller_event>>;
    {caller.welcome()};
    {caller.send(answer)};
    {caller.refuse(error)};
    {caller.close()};
};

} // namespace cornellever::session
