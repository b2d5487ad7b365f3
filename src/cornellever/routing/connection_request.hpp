#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// What a request needs of a connection.
struct connection_request {
    /// Only the primary will do.
    bool primary{false};
    /// The position that another server's log needs to have.
    std::optional<sql::log_position> floor{};
    const session::session_state* session{nullptr};
    /// For whom the connection has to have been opened.
    std::string account{};
    /// The request's, and among equal ones its account's: see `priority_of`.
    std::int64_t priority{0};
    boot_clock::time_point until{};
    /// Servers that failed this request before.
    std::vector<std::string> excluded_servers{};
    /// The server that was taken for the primary and refused this request as
    /// not being it.
    std::string refused_by{};
};

/// What a proxy has seen of a service's primary.
struct primary_observation {
    std::string id;
    /// When it last proved its lead to this proxy.
    boot_clock::time_point leadership_confirmed_at{};
    boot_clock::time_point last_contact_at{};
    /// Nobody has answered at its address since `last_contact_at`.
    bool unreachable{false};
    bool refused{false};
    /// It answers and leads, without the commits that it had.
    bool log_lost{false};
    /// The furthest position that it is known to have named while it led.
    std::optional<sql::log_position> highest_position{};
};

} // namespace cornellever::routing
