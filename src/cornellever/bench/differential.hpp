#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// A differential test: the same random statements are sent through the proxies
/// and directly to a single server without a proxy, the naive version. The
/// responses must be equal.
struct differential_plan {
    std::vector<tcp::endpoint> proxies;
    /// The single server without a proxy.
    tcp::endpoint naive;
    target_database target;
    std::size_t sessions{20};
    /// Statements or transactions per session.
    std::size_t steps{30};
    std::uint64_t seed{1};
};

/// The differences between the responses through the proxies and those of the
/// single server, and the latencies of both.
struct differential_report {
    /// The number of responses compared.
    std::size_t answers{0};
    std::vector<std::string> differences;
    std::size_t reads{0};
    std::size_t replica_reads{0};
    metrics::latency proxied;
    metrics::latency naive;
    /// Why the run ended early; empty when it was completed.
    std::string failure;
};

/// Runs the sessions one after another.
[[nodiscard]] differential_report run_differential(const differential_plan& plan);

} // namespace cornellever::bench
