#include "cornellever/routing/admission.hpp"

#include <algorithm>

namespace cornellever::routing {

namespace {

/// Lower bound of the retry delay, which is the time of a few statements.
constexpr std::chrono::milliseconds min_retry_after{30};

/// Time reserved for running a statement after a failover. All requests that waited for the new primary compete for its
/// execution slots.
constexpr std::chrono::milliseconds run_reserve_after_promotion{100};

/// Retry delay while the service has no primary. A promotion takes 1.2 s from its start, and on average half of that is
/// left when a request arrives.
constexpr std::chrono::milliseconds retry_after_without_primary{300};

/// Time reserved for running the statement, as a multiple of the average statement time. Three of four statements take
/// no longer than this multiple. The average includes the time spent in the servers' queues.
constexpr double run_reserve = 1.5;

std::chrono::milliseconds in_ms(std::chrono::duration<double, std::milli> span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

std::chrono::milliseconds expected_wait(const load_view& load) {
    const auto parallel = static_cast<double>(std::max<std::size_t>(1, load.concurrency));
    return in_ms(load.statement_time * static_cast<double>(load.requests_ahead) / parallel);
}

} // namespace

std::chrono::milliseconds max_wait(const load_view& load, const time_limits& limits) {
    return std::min(limits.left, limits.target) - in_ms(load.statement_time * run_reserve);
}

admission_decision admit(const load_view& load, const time_limits& limits) {
    const auto expected = expected_wait(load);
    const auto longest = max_wait(load, limits);
    if (longest.count() <= 0 || expected > longest) {
        return {.retry_after = std::max(min_retry_after, expected)};
    }
    return {.admitted = true, .wait = longest, .retry_after = std::max(min_retry_after, expected)};
}

admission_decision admit_without_primary(const time_limits& limits) {
    const auto max_wait = limits.left - run_reserve_after_promotion;
    if (max_wait.count() <= 0) {
        return {.retry_after = retry_after_without_primary};
    }
    return {.admitted = true, .wait = max_wait, .retry_after = retry_after_without_primary};
}

bool has_time_to_run(const load_view& load, std::chrono::milliseconds left) {
    return left > in_ms(load.statement_time);
}

} // namespace cornellever::routing
