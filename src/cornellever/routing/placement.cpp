#include "cornellever/routing/placement.hpp"

namespace cornellever::routing {

namespace {

/// Penalty for a server in another data centre. A round trip to another data centre takes 2.8 ms longer than one within
/// the proxy's data centre. The rest stands for the cost of traffic between data centres, which is billed.
constexpr double other_data_center_penalty_ms = 5.0;

/// Penalty for the primary, because it is the only server that can run writes. Reads avoid the primary until the
/// replicas are slower by this much, which is about the time of one read (9 ms on average).
constexpr double primary_penalty_ms = 8.0;

/// Penalty per statement that sets a session's value on a connection. Such a statement costs bandwidth and hardly any
/// time.
constexpr double replay_cost_ms = 0.2;

double expected_ms(const placement_candidate& item) {
    double out = item.statement_time.count() * static_cast<double>(1 + item.in_flight);
    out += item.same_data_center ? 0.0 : other_data_center_penalty_ms;
    out += item.primary ? primary_penalty_ms : 0.0;
    return out + replay_cost_ms * static_cast<double>(item.replay);
}

} // namespace

std::optional<std::size_t> place_read(std::span<const placement_candidate> candidates, bool spare_primary) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& item = candidates[i];
        const std::size_t kept = item.primary && spare_primary ? 1 : 0;
        if (item.idle <= kept) {
            continue;
        }
        if (!best || expected_ms(item) < expected_ms(candidates[*best])) {
            best = i;
        }
    }
    return best;
}

} // namespace cornellever::routing
