#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// Repeated losses of a primary: each round freezes the primary stand-in of
/// the database, times how long no write is acknowledged, thaws it and waits
/// until it follows as a replica.
struct failover_gap_plan {
    std::vector<tcp::endpoint> proxies;
    target_database target;
    int rounds{5};
    /// The naive version's only instance; frozen once for `naive_outage` when given.
    std::optional<tcp::endpoint> naive;
    /// How long the naive version's primary stays away: as long as nobody is
    /// awake to do anything about it, here kept short.
    std::chrono::milliseconds naive_outage{5000};
};

/// What callers saw over the rounds.
struct failover_gap_report {
    /// From the freeze to the next acknowledged write, per round.
    std::vector<std::chrono::milliseconds> gaps;
    metrics::latency histogram;
    /// The naive version's gap for its one absence.
    std::optional<std::chrono::milliseconds> naive_gap;
    /// Why the run ended early; empty when every round was played.
    std::string failure;
};

/// Runs the plan; a round without an acknowledged write for `max_gap`
/// ends it.
[[nodiscard]] failover_gap_report measure_failover_gap(const failover_gap_plan& plan);

/// How long a round waits for a write to be acknowledged again.
inline constexpr auto max_gap = std::chrono::seconds{15};

} // namespace cornellever::bench
