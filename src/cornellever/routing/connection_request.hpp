#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/statement_tally.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// What a request requires of the connection that it runs on.
struct connection_request {
    /// Whether only the primary is eligible.
    bool primary{false};
    /// The log position that a replica must have applied to serve this request (see `read_floor`).
    std::optional<sql::log_position> floor{};
    const session::session_state* session{nullptr};
    /// The account that the connection must have been opened for. Empty if the request belongs to no account.
    std::string account{};
    /// Priority in the wait queue (see `priority_of`).
    std::int64_t priority{0};
    /// Deadline for getting a connection.
    boot_clock::time_point until{};
    /// Servers on which this request already failed.
    std::vector<std::string> excluded_servers{};
    /// The server that refused the previous attempt of this request.
    std::string refused_by{};
};

/// How far a replica is behind the primary.
struct replica_distance {
    std::chrono::milliseconds lag{0};
    /// Number of log entries that the replica has not applied.
    std::uint64_t entries{0};
};

/// What this proxy knows about a service's primary from its own connections.
struct primary_observation {
    std::string id;
    /// When the primary's last leadership confirmation (a reply that shows that the server is the primary) was
    /// requested.
    boot_clock::time_point leadership_confirmed_at{};
    /// When the primary's last reply of any kind arrived.
    boot_clock::time_point last_contact_at{};
    /// Whether nothing has replied at the primary's address since `last_contact_at`.
    bool unreachable{false};
    /// Whether the primary's address refused a connection after `last_contact_at`.
    bool refused{false};
    /// Whether the server replies as the primary although its log lacks commits, either its earlier ones or those of
    /// another server.
    bool log_lost{false};
    /// The highest log position that the server is known to have reported as the primary.
    std::optional<sql::log_position> highest_position{};
    /// Requests that wait for a connection to a server of the service.
    std::size_t waiting{0};
    /// How long a request that arrives now is expected to wait.
    std::chrono::milliseconds expected_wait{0};
    /// The distance of the replica that lags least; nothing if no other server is usable.
    std::optional<replica_distance> nearest{};
    /// How the statements of callers ended that the primary was sent.
    statement_health statements{statement_health::unknown};
};

} // namespace cornellever::routing
