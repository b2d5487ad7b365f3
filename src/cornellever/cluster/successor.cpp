#include "cornellever/cluster/successor.hpp"

#include <algorithm>

namespace cornellever::cluster {

namespace {

bool holds_entries(const replica_report& item) {
    return item.answered && item.received.number > 0;
}

} // namespace

std::optional<replica_report> choose_successor(std::span<const replica_report> replicas, primary_verdict why) {
    const auto better = [](const replica_report& left, const replica_report& right) {
        if (left.answered != right.answered) {
            return right.answered;
        }
        if (left.draining != right.draining) {
            return left.draining;
        }
        return left.received < right.received;
    };
    const auto best = std::ranges::max_element(replicas, better);
    if (best == replicas.end() || !best->answered || (best->draining && why != primary_verdict::lost)) {
        return std::nullopt;
    }
    return *best;
}

bool may_hold_only_log(std::span<const replica_report> replicas) {
    const auto silent = [](const replica_report& item) { return !item.answered; };
    return std::ranges::none_of(replicas, holds_entries) && std::ranges::any_of(replicas, silent);
}

bool lacks_entries_of(const replica_report& primary, std::span<const replica_report> others) {
    return !holds_entries(primary) && std::ranges::any_of(others, holds_entries);
}

} // namespace cornellever::cluster
