#include "cornellever/cluster/successor.hpp"

#include <algorithm>
#include <tuple>

namespace cornellever::cluster {

namespace {

bool holds_entries(const replica_report& item) {
    return item.answered && item.received.number > 0;
}

/// Whether the server reported how much of the log it has received. A server that is too busy for
/// that reports only what it has applied.
bool reports_received(const replica_report& item) {
    return item.answered && (item.is_replica || item.is_primary);
}

bool may_hold_longer_log(const replica_report& item, const replica_report& candidate) {
    return item.registered ? !reports_received(item) : item.received > candidate.received;
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

std::optional<replica_report> choose_longest_log(std::span<const replica_report> replicas) {
    const auto worse = [](const replica_report& left, const replica_report& right) {
        return std::tuple{left.answered, left.received, !left.draining} <
               std::tuple{right.answered, right.received, !right.draining};
    };
    const auto best = std::ranges::max_element(replicas, worse);
    return best == replicas.end() || !best->answered ? std::nullopt : std::optional{*best};
}

bool holds_acknowledged_commits(const replica_report& candidate, std::span<const replica_report> replicas,
                                const replaced_primary& old) {
    if (old.synchronous_replicas == 0) {
        return true;
    }
    const auto former_primary = std::ranges::find(replicas, old.id, &replica_report::id);
    const bool stepped_down = former_primary != replicas.end() && former_primary->is_replica;
    if ((old.why != primary_verdict::lost && !stepped_down) || !reports_received(candidate)) {
        return false;
    }
    const auto unknown =
        std::ranges::count_if(replicas, [&](const auto& item) { return may_hold_longer_log(item, candidate); });
    return unknown < old.synchronous_replicas;
}

bool may_hold_only_log(std::span<const replica_report> replicas) {
    const auto silent = [](const replica_report& item) { return !item.answered; };
    return std::ranges::none_of(replicas, holds_entries) && std::ranges::any_of(replicas, silent);
}

bool lacks_entries_of(const replica_report& primary, std::span<const replica_report> others) {
    return !holds_entries(primary) && std::ranges::any_of(others, holds_entries);
}

} // namespace cornellever::cluster
