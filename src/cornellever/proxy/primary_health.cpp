#include "cornellever/proxy/primary_health.hpp"

#include <algorithm>

#include "cornellever/core/quorum.hpp"

namespace cornellever::proxy {

namespace {

using time_point = std::chrono::steady_clock::time_point;

const instance_view* responsive_primary(std::span<const instance_view* const> members, time_point now) {
    const instance_view* best = nullptr;
    for (const auto* item : members) {
        if (item->primary && item->healthy(now) && (best == nullptr || item->term > best->term)) {
            best = item;
        }
    }
    return best;
}

/// Returns the time since the replica's last contact with its primary: the age that the replica reported in its last
/// heartbeat plus the time since that heartbeat.
std::chrono::steady_clock::duration time_since_primary_contact(const instance_view& replica, time_point now) {
    return std::chrono::milliseconds{replica.primary_contact_age_ms} + (now - replica.last_heartbeat_at);
}

} // namespace

primary_status assess_primary(std::span<const instance_view* const> members, time_point now) {
    const auto* primary = responsive_primary(members, now);
    const auto timeout = primary != nullptr ? isolation_timeout : unresponsive_timeout;
    std::size_t responsive = 0;
    std::size_t out_of_contact = 0;
    std::size_t not_leaving = 0;
    for (const auto* item : members) {
        if (item->primary || !item->healthy(now)) {
            continue;
        }
        ++responsive;
        out_of_contact += time_since_primary_contact(*item, now) > timeout ? 1 : 0;
        not_leaving += item->leaving_since ? 0 : 1;
    }
    const bool no_replica_in_contact = responsive > 0 && out_of_contact == responsive;
    if (primary != nullptr && primary->log_lost) {
        return primary_status::lost;
    }
    if (primary == nullptr && no_replica_in_contact) {
        return primary_status::lost;
    }
    if (primary == nullptr) {
        return responsive > 0 ? primary_status::unreachable : primary_status::serving;
    }
    const auto majority = majority_of(members.size());
    if (no_replica_in_contact && out_of_contact >= majority) {
        return primary_status::lost;
    }
    if (primary->leaving_since && not_leaving >= majority) {
        return primary_status::leaving;
    }
    return primary_status::serving;
}

bool peers_confirm_unreachable(std::span<const primary_observation> observations) {
    const auto answered = observations.size() -
                          static_cast<std::size_t>(std::ranges::count(observations, primary_observation::no_answer));
    const bool seen_by_peer = std::ranges::find(observations, primary_observation::reachable) != observations.end();
    return !seen_by_peer && answered + 1 >= majority_of(observations.size() + 1);
}

} // namespace cornellever::proxy
