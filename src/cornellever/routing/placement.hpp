#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace cornellever::routing {

/// What is known of a backend server that could run a read.
struct placement_candidate {
    bool same_data_center{false};
    bool primary{false};
    /// Statements of this proxy that run there now.
    std::size_t in_flight{0};
    /// Idle connections of this proxy to it.
    std::size_t idle{0};
    /// How long statements took there lately, its own queue included.
    std::chrono::duration<double, std::milli> statement_time{0};
    /// Statements needed to bring a connection to the session's values.
    std::size_t replay{0};
};

/// The candidate expected to answer a read first, weighed with what it costs
/// to go there; nothing when none has an idle connection. `spare_primary`
/// keeps one connection of the primary free for what only it can run.
[[nodiscard]] std::optional<std::size_t> place_read(std::span<const placement_candidate> candidates,
                                                    bool spare_primary);

} // namespace cornellever::routing
