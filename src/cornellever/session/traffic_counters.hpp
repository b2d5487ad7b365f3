#pragma once

#include <array>
#include <cstdint>

#include "cornellever/metrics/latency.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::session {

/// What the traffic side counts, for the metrics page and the state dump.
struct traffic_counters {
    static constexpr std::size_t refusal_kinds = 13;

    std::uint64_t sessions_opened{0};
    std::uint64_t statements_served{0};
    std::uint64_t reads_on_replicas{0};
    std::uint64_t reads_on_primary{0};
    std::uint64_t statements_retried{0};
    std::uint64_t transactions_opened{0};
    std::uint64_t transactions_rolled_back{0};
    /// Operations beyond their accounts' limits, and those of which nobody knew.
    std::uint64_t over_limit_refusals{0};
    std::uint64_t unknown_limit_refusals{0};
    std::array<std::uint64_t, refusal_kinds> refused{};
    metrics::latency statement_latency;
    metrics::latency connection_wait;

    void count_refusal(sql::refusal why) { ++refused.at(static_cast<std::size_t>(why)); }
};

} // namespace cornellever::session
