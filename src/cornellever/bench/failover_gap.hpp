#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// Repeated failures of a primary. Each round freezes the database's primary,
/// measures how long no write is acknowledged, unfreezes the server and waits
/// until it is a replica.
struct failover_gap_plan {
    std::vector<tcp::endpoint> proxies;
    target_database target;
    int rounds{5};
    /// A single server without a proxy or failover (the naive version), for
    /// comparison. When given, this server is frozen once for `naive_outage`.
    std::optional<tcp::endpoint> naive;
    /// How long the single server stays frozen. Without failover an outage lasts
    /// until an operator acts; the default keeps the run short.
    std::chrono::milliseconds naive_outage{5000};
};

/// The write outages that callers (client applications) observed.
struct failover_gap_report {
    /// How long after the freeze the next write was acknowledged, per round.
    std::vector<std::chrono::milliseconds> gaps;
    metrics::latency histogram;
    /// How long after the freeze the single server without a proxy acknowledged the
    /// next write; empty if no such write was measured.
    std::optional<std::chrono::milliseconds> naive_gap;
    /// Why the run ended early; empty when every round was completed.
    std::string failure;
};

/// Runs all rounds. Stops early when no write is acknowledged within `max_gap`
/// after a freeze.
[[nodiscard]] failover_gap_report measure_failover_gap(const failover_gap_plan& plan);

/// How long a round waits for the next acknowledged write.
inline constexpr auto max_gap = std::chrono::seconds{15};

} // namespace cornellever::bench
