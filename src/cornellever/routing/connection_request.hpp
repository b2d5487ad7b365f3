#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// The requirements of a request on the connection that it runs on.
struct connection_request {
    /// Only the primary is eligible.
    bool primary{false};
    /// The log position that a replica must have applied (see `read_floor`).
    std::optional<sql::log_position> floor{};
    const session::session_state* session{nullptr};
    /// The account that the connection must have been opened for; empty for a
    /// connection of the proxy's own.
    std::string account{};
    /// Priority in the wait queue: see `priority_of`.
    std::int64_t priority{0};
    /// Deadline of the wait.
    boot_clock::time_point until{};
    /// Servers on which this request failed before.
    std::vector<std::string> excluded_servers{};
    /// The presumed primary that refused this request with `not_primary`.
    std::string refused_by{};
};

/// What this proxy knows about a service's primary from its own connections.
struct primary_observation {
    std::string id;
    /// When its last leadership confirmation was requested.
    boot_clock::time_point leadership_confirmed_at{};
    /// The last answer of any kind.
    boot_clock::time_point last_contact_at{};
    /// Nothing has answered at its address since `last_contact_at`.
    bool unreachable{false};
    /// Its address refused a connection since then.
    bool refused{false};
    /// It answers as the primary but has lost commits.
    bool log_lost{false};
    /// The highest log position that it is known to have reported as the primary.
    std::optional<sql::log_position> highest_position{};
};

} // namespace cornellever::routing
