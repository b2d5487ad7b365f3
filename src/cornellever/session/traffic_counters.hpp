#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cornellever/metrics/latency.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::session {

/// Counters and latencies of served sessions, for metrics and state dumps.
struct traffic_counters {
    /// Number of values of `sql::refusal`.
    static constexpr std::size_t refusal_kinds = 13;

    std::uint64_t sessions_opened{0};
    std::uint64_t statements_served{0};
    std::uint64_t reads_on_replicas{0};
    std::uint64_t reads_on_primary{0};
    std::uint64_t statements_retried{0};
    std::uint64_t transactions_opened{0};
    std::uint64_t transactions_rolled_back{0};
    /// Operations refused because the account's rate limit was used up (`over_limit_refusals`), or because no
    /// coordinator of the limit (a proxy that grants the account's operations) replied (`unknown_limit_refusals`).
    std::uint64_t over_limit_refusals{0};
    std::uint64_t unknown_limit_refusals{0};
    /// Indexed by `sql::refusal`.
    std::array<std::uint64_t, refusal_kinds> refused{};
    /// Requests that were refused because they could not be served in time, by service and by priority of the database.
    std::map<std::string, std::map<int, std::uint64_t>, std::less<>> refused_by_service;
    metrics::latency statement_latency;
    metrics::latency connection_wait;

    void count_refusal(sql::refusal why) { ++refused.at(static_cast<std::size_t>(why)); }
};

} // namespace cornellever::session
