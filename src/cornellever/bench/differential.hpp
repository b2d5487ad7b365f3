#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// The same random session scripts run through cornellever's proxies and
/// through a naive version: one instance, every statement straight to it.
struct differential_plan {
    std::vector<tcp::endpoint> proxies;
    /// The naive version's only instance.
    tcp::endpoint naive;
    target_database target;
    std::size_t sessions{20};
    std::size_t steps{30};
    std::uint64_t seed{1};
};

/// Where the two disagreed, and how each served.
struct differential_report {
    std::size_t answers{0};
    std::vector<std::string> differences;
    std::size_t reads{0};
    std::size_t replica_reads{0};
    metrics::latency proxied;
    metrics::latency naive;
    /// Why the run ended early; empty when it was played to its end.
    std::string failure;
};

/// Runs the plan, one session after another.
[[nodiscard]] differential_report run_differential(const differential_plan& plan);

} // namespace cornellever::bench
