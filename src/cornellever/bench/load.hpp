#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// A closed-loop load: `sessions` callers each sending one statement after
/// another for `duration`, every call with the method and params given.
struct load_plan {
    tcp::endpoint target;
    std::string method;
    Json::Value params;
    std::size_t sessions{8};
    std::chrono::milliseconds duration{2000};
};

/// What a load run measured.
struct load_result {
    std::size_t completed{0};
    std::size_t failed{0};
    /// Failures whose outcome is unknown: the request was sent and its answer cut.
    std::size_t unanswered{0};
    std::chrono::nanoseconds elapsed{0};
    std::chrono::microseconds cpu{0};
    std::uint64_t bytes{0};
    metrics::latency latency;

    [[nodiscard]] double per_second() const;
};

/// Runs the plan on one thread and returns the figures; `cpu` is this
/// process's own processor time (user and system) over the run, `bytes`
/// what crossed the wire both ways.
[[nodiscard]] load_result run_load(const load_plan& plan);

/// Opens `count` connections to `target`, makes one `method` call on each,
/// then holds them all open for `hold` (to measure a server's memory per
/// idle connection). Returns how many were open at the end.
[[nodiscard]] std::size_t hold_connections(const tcp::endpoint& target, std::string_view method, std::size_t count,
                                           std::chrono::milliseconds hold);

} // namespace cornellever::bench
