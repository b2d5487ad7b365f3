#include "cornellever/routing/admission.hpp"

#include <algorithm>

namespace cornellever::routing {

namespace {

/// The soonest that asking again makes sense: a few statements' time.
constexpr std::chrono::milliseconds shortest_retry{30};

} // namespace

admission_decision admit(const load_view& load, std::chrono::milliseconds patience) {
    const auto lanes = static_cast<double>(std::max<std::size_t>(1, load.connections));
    const auto expected = load.typical * static_cast<double>(load.ahead) / lanes;
    const auto expected_ms = std::chrono::duration_cast<std::chrono::milliseconds>(expected);
    if (expected > patience) {
        return {.retry_after = std::max(shortest_retry, expected_ms - patience)};
    }
    return {.admitted = true, .wait = patience, .retry_after = std::max(shortest_retry, expected_ms)};
}

} // namespace cornellever::routing
