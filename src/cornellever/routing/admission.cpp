#include "cornellever/routing/admission.hpp"

#include <algorithm>

namespace cornellever::routing {

namespace {

/// The soonest that asking again makes sense: a few statements' time.
constexpr std::chrono::milliseconds shortest_retry{30};

/// Left to run a statement once the new primary leads: its slots are taken by
/// all that waited.
constexpr std::chrono::milliseconds primary_room_to_run{100};

/// A promotion takes 1.2 s from the order; half of it on average.
constexpr std::chrono::milliseconds without_primary_retry{300};

/// Kept for running the statement, in times that the usual one takes: three
/// of four take no longer. What servers' own queues add is in the usual time.
constexpr double room_to_run = 1.5;

std::chrono::milliseconds in_ms(std::chrono::duration<double, std::milli> span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

std::chrono::milliseconds expected_wait(const load_view& load) {
    const auto lanes = static_cast<double>(std::max<std::size_t>(1, load.connections));
    return in_ms(load.statement_time * static_cast<double>(load.ahead) / lanes);
}

} // namespace

std::chrono::milliseconds patience(const load_view& load, const time_limits& limits) {
    return std::min(limits.left, limits.target) - in_ms(load.statement_time * room_to_run);
}

admission_decision admit(const load_view& load, const time_limits& limits) {
    const auto expected = expected_wait(load);
    const auto longest = patience(load, limits);
    if (longest.count() <= 0 || expected > longest) {
        return {.retry_after = std::max(shortest_retry, expected)};
    }
    return {.admitted = true, .wait = longest, .retry_after = std::max(shortest_retry, expected)};
}

admission_decision admit_without_primary(const time_limits& limits) {
    const auto patience = limits.left - primary_room_to_run;
    if (patience.count() <= 0) {
        return {.retry_after = without_primary_retry};
    }
    return {.admitted = true, .wait = patience, .retry_after = without_primary_retry};
}

bool has_time_to_run(const load_view& load, std::chrono::milliseconds left) {
    return left > in_ms(load.statement_time);
}

} // namespace cornellever::routing
