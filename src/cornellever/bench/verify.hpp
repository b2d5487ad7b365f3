#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornellever/bench/caller_session.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// A checked workload: callers write rows under tags of their own, in single
/// statements, under request ids and in transactions, read them back on
/// whichever proxy, and in the end every tag is counted in the database.
struct verify_plan {
    std::vector<tcp::endpoint> proxies;
    target_database target;
    std::size_t callers{16};
    std::chrono::milliseconds duration{5000};
    std::uint64_t seed{1};
    /// How long a request with an id is asked again before its caller gives up.
    std::chrono::milliseconds retry_timeout{15000};
};

/// What callers were told, and where the database disagrees with it.
struct verify_report {
    std::size_t done{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t reads{0};
    std::size_t replica_reads{0};
    std::vector<std::string> read_errors;
    /// Acknowledged, but not exactly once in the database.
    std::vector<std::string> not_exactly_once;
    /// Answered "not run" or rolled back, but in the database.
    std::vector<std::string> unexpectedly_applied;
    /// Neither whole nor absent: a transaction that mixed or tore, or an
    /// unknown outcome that happened twice.
    std::vector<std::string> partially_applied;
    /// A session that did not see its own acknowledged write.
    std::vector<std::string> missing_own_writes;
    /// The longest time between two acknowledged writes of any callers.
    std::chrono::milliseconds longest_gap{0};
    metrics::latency write_latency;
    metrics::latency read_latency;
    /// Why the final count failed; empty when it was made.
    std::string check_failure;

    [[nodiscard]] bool clean() const noexcept {
        return not_exactly_once.empty() && unexpectedly_applied.empty() && partially_applied.empty() &&
               missing_own_writes.empty() && check_failure.empty();
    }
};

/// Runs the plan on one thread, then counts. Takes at most the duration,
/// the patience and the time of the count.
[[nodiscard]] verify_report run_verify(const verify_plan& plan);

} // namespace cornellever::bench
