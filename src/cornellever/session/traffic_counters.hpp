#pragma once

#include <array>
#include <cstdint>

#include "cornellever/metrics/latency.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::session {

/// What the traffic side counts, for the metrics page and the state dump.
struct traffic_counters {
    static constexpr std::size_t refusals = 13;

    std::uint64_t sessions_opened{0};
    std::uint64_t statements_served{0};
    std::uint64_t reads_on_replicas{0};
    std::uint64_t reads_on_primary{0};
    std::uint64_t statements_retried{0};
    std::uint64_t transactions_opened{0};
    std::uint64_t transactions_undone{0};
    /// Operations beyond their accounts' limits, and those of which nobody knew.
    std::uint64_t over_limit{0};
    std::uint64_t limit_unknown{0};
    std::array<std::uint64_t, refusals> refused{};
    metrics::latency served_in;
    metrics::latency waited_for_connection;

    void count_refusal(sql::refusal why) { ++refused.at(static_cast<std::size_t>(why)); }
};

} // namespace cornellever::session
