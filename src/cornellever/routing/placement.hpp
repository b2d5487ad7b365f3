#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace cornellever::routing {

/// A backend server that is eligible for a read.
struct placement_candidate {
    bool same_data_center{false};
    bool primary{false};
    /// Statements that this proxy is running on the server.
    std::size_t in_flight{0};
    /// Idle connections of this proxy to the server.
    std::size_t idle{0};
    /// Recent average time of a statement on the server, including the server's queue.
    std::chrono::duration<double, std::milli> statement_time{0};
    /// Number of statements needed to set the session's values (those of SET) on a connection.
    std::size_t replay{0};
};

/// Returns the index of the candidate with the lowest expected latency plus penalties for its location and role, or
/// nothing if no candidate has an idle connection. `spare_primary` is true if one connection to the primary must stay
/// free for statements that only the primary can run.
[[nodiscard]] std::optional<std::size_t> place_read(std::span<const placement_candidate> candidates,
                                                    bool spare_primary);

} // namespace cornellever::routing
