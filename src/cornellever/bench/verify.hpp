#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// A workload with verification. Callers (client applications) write rows under
/// unique tags, by single statements with and without request ids and by
/// transactions, and read the rows back through a random proxy. At the end the
/// rows of every tag in the database are counted and compared with the outcomes
/// reported to the callers.
struct verify_plan {
    std::vector<tcp::endpoint> proxies;
    target_database target;
    std::size_t callers{16};
    std::chrono::milliseconds duration{5000};
    std::uint64_t seed{1};
    /// How long a caller retries a request that has a request id.
    std::chrono::milliseconds retry_timeout{15000};
};

/// The outcomes reported to callers, and the writes and reads that contradict
/// these outcomes.
struct verify_report {
    std::size_t done{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    /// Reads of a caller's own acknowledged writes.
    std::size_t reads{0};
    std::size_t replica_reads{0};
    std::vector<std::string> read_errors;
    /// Writes that were reported as done but are not in the database exactly
    /// once.
    std::vector<std::string> not_exactly_once;
    /// Writes that were reported as not run or rolled back but are in the
    /// database.
    std::vector<std::string> unexpectedly_applied;
    /// Writes of unknown outcome that violate atomicity: a transaction applied in
    /// part or interleaved with another, or a write applied twice.
    std::vector<std::string> partially_applied;
    /// Reads that did not return the session's own acknowledged write.
    std::vector<std::string> missing_own_writes;
    /// The longest time between two acknowledged writes, over all callers.
    std::chrono::milliseconds longest_gap{0};
    metrics::latency write_latency;
    metrics::latency read_latency;
    /// Why the final count failed; empty when it succeeded.
    std::string check_failure;

    /// Whether the final count succeeded and no write or read contradicts the
    /// reported outcomes.
    [[nodiscard]] bool clean() const noexcept {
        return not_exactly_once.empty() && unexpectedly_applied.empty() && partially_applied.empty() &&
               missing_own_writes.empty() && check_failure.empty();
    }
};

/// Runs the workload on one thread, then the final count. Takes at most the sum
/// of the duration, the retry timeout and the time of the count.
[[nodiscard]] verify_report run_verify(const verify_plan& plan);

} // namespace cornellever::bench
