#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "cornellever/bench/caller.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// Repeated losses of a primary: each round freezes the primary stand-in of
/// the database, times how long no write is acknowledged, thaws it and waits
/// until it follows as a replica.
struct gap_plan {
    std::vector<tcp::endpoint> proxies;
    bench_target target;
    int rounds{5};
};

/// What callers saw over the rounds.
struct gap_report {
    /// From the freeze to the next acknowledged write, per round.
    std::vector<std::chrono::milliseconds> gaps;
    metrics::latency histogram;
    /// Why the run ended early; empty when every round was played.
    std::string failure;
};

/// Runs the plan; a round without an acknowledged write for `longest_gap`
/// ends it.
[[nodiscard]] gap_report run_gap(const gap_plan& plan);

/// How long a round waits for a write to be acknowledged again.
inline constexpr auto longest_gap = std::chrono::seconds{15};

} // namespace cornellever::bench
