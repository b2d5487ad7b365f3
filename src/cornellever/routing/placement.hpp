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
    /// Statements that this proxy is running there.
    std::size_t in_flight{0};
    /// Idle connections of this proxy to it.
    std::size_t idle{0};
    /// Recent average time of a statement there, including the server's own queue.
    std::chrono::duration<double, std::milli> statement_time{0};
    /// Statements needed to replay the session's values on a connection.
    std::size_t replay{0};
};

/// The index of the candidate with the lowest expected latency plus penalties
/// for its location and role; nothing when none has an idle connection.
/// `spare_primary` keeps one connection to the primary free for statements that
/// only the primary can run.
[[nodiscard]] std::optional<std::size_t> place_read(std::span<const placement_candidate> candidates,
                                                    bool spare_primary);

} // namespace cornellever::routing
