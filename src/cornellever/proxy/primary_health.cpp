#include "cornellever/proxy/primary_health.hpp"

#include <algorithm>

#include "cornellever/core/quorum.hpp"

namespace cornellever::proxy {

namespace {

using time_point = std::chrono::steady_clock::time_point;

const instance_view* answering_primary(std::span<const instance_view* const> members, time_point now) {
    const instance_view* best = nullptr;
    for (const auto* item : members) {
        if (item->primary && item->healthy(now) && (best == nullptr || item->term > best->term)) {
            best = item;
        }
    }
    return best;
}

/// How long ago the replica last heard its primary, counting the time since
/// its own heartbeat.
std::chrono::steady_clock::duration unheard(const instance_view& replica, time_point now) {
    return std::chrono::milliseconds{replica.heard_ms} + (now - replica.last_heard);
}

} // namespace

verdict judge(std::span<const instance_view* const> members, time_point now) {
    const auto* primary = answering_primary(members, now);
    const auto timeout = primary != nullptr ? isolation_timeout : silence_timeout;
    std::size_t answering = 0;
    std::size_t deaf = 0;
    std::size_t staying = 0;
    for (const auto* item : members) {
        if (item->primary || !item->healthy(now)) {
            continue;
        }
        ++answering;
        deaf += unheard(*item, now) > timeout ? 1 : 0;
        staying += item->leaving_since ? 0 : 1;
    }
    const bool nobody_hears = answering > 0 && deaf == answering;
    if (primary == nullptr && nobody_hears) {
        return verdict::lost;
    }
    if (primary == nullptr) {
        return answering > 0 ? verdict::unreachable : verdict::keep;
    }
    const auto majority = majority_of(members.size());
    if (nobody_hears && deaf >= majority) {
        return verdict::lost;
    }
    if (primary->leaving_since && staying >= majority) {
        return verdict::leaving;
    }
    return verdict::keep;
}

bool peers_agree(std::span<const peer_word> words) {
    const auto answered = words.size() - static_cast<std::size_t>(std::ranges::count(words, peer_word::no_answer));
    const bool heard = std::ranges::find(words, peer_word::hears_it) != words.end();
    return !heard && answered + 1 >= majority_of(words.size() + 1);
}

} // namespace cornellever::proxy
