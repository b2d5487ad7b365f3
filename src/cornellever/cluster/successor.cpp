#include "cornellever/cluster/successor.hpp"

#include <algorithm>

namespace cornellever::cluster {

std::optional<replica_report> choose_successor(std::span<const replica_report> replicas, primary_verdict why) {
    const auto better = [](const replica_report& left, const replica_report& right) {
        if (left.draining != right.draining) {
            return left.draining;
        }
        return left.received < right.received;
    };
    const auto best = std::ranges::max_element(replicas, better);
    if (best == replicas.end() || (best->draining && why != primary_verdict::lost)) {
        return std::nullopt;
    }
    return *best;
}

} // namespace cornellever::cluster
