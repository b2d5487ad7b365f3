#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/metrics/latency.hpp"

namespace cornellever::bench {

/// A closed-loop load: each of `sessions` callers (client applications) repeats
/// the same call for `duration` and sends the next call when the previous one is
/// answered.
struct load_plan {
    tcp::endpoint target;
    std::string method;
    Json::Value params;
    std::size_t sessions{8};
    std::chrono::milliseconds duration{2000};
};

/// The measurements of a load run.
struct load_result {
    std::size_t completed{0};
    std::size_t failed{0};
    /// The number of failed calls with an unknown outcome: the request was sent,
    /// but no response arrived.
    std::size_t unanswered{0};
    std::chrono::nanoseconds elapsed{0};
    /// Processor time of this process during the run, user and system.
    std::chrono::microseconds cpu{0};
    /// Bytes sent and received.
    std::uint64_t bytes{0};
    metrics::latency latency;

    /// Completed calls per second.
    [[nodiscard]] double per_second() const;
};

/// Runs the load on one thread.
[[nodiscard]] load_result run_load(const load_plan& plan);

/// Opens `count` connections to `target`, makes one `method` call on each and
/// keeps the connections open for `hold`, so that a server's memory per idle
/// connection can be measured. Returns the number of connections that could be
/// opened.
[[nodiscard]] std::size_t hold_connections(const tcp::endpoint& target, std::string_view method, std::size_t count,
                                           std::chrono::milliseconds hold);

} // namespace cornellever::bench
