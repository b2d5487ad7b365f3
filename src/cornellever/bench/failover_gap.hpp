#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// Repeated failures of a primary. Each round freezes the database's primary,
/// measures how long no write is acknowledged, unfreezes it and waits until it
/// has returned as a replica.
struct failover_gap_plan {
    std::vector<tcp::endpoint> proxies;
    target_database target;
    int rounds{5};
    /// The single instance of the naive version, which has no failover; frozen
    /// once for `naive_outage` when given.
    std::optional<tcp::endpoint> naive;
    /// How long the naive version's instance stays frozen. Without failover an
    /// outage lasts until an operator acts; the default keeps the run short.
    std::chrono::milliseconds naive_outage{5000};
};

/// The write outages that callers observed.
struct failover_gap_report {
    /// From the freeze to the next acknowledged write, per round.
    std::vector<std::chrono::milliseconds> gaps;
    metrics::latency histogram;
    /// The write outage of the naive version.
    std::optional<std::chrono::milliseconds> naive_gap;
    /// Why the run ended early; empty when every round was completed.
    std::string failure;
};

/// Runs all rounds; stops early when no write is acknowledged within `max_gap`
/// of a freeze.
[[nodiscard]] failover_gap_report measure_failover_gap(const failover_gap_plan& plan);

/// How long a round waits for the next acknowledged write.
inline constexpr auto max_gap = std::chrono::seconds{15};

} // namespace cornellever::bench
