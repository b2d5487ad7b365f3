#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cornellever/routing/connection_request.hpp"
#include "cornellever/routing/pool_entry.hpp"
#include "cornellever/routing/read_floor.hpp"

namespace cornellever::routing {

/// How often a replica without lag is polled for its position while requests wait.
inline constexpr std::chrono::milliseconds idle_poll_period{1000};

namespace detail {

/// A server whose last reply is older than this is not counted on. It covers the backoff after a
/// failed connection (0.6 s) and a lost reply (0.6 s).
inline constexpr std::chrono::milliseconds max_reply_age{2000};

template <backend_link Link>
[[nodiscard]] bool is_usable(const pool_entry<Link>& at, boot_clock::time_point now) {
    return !at.retired && !at.draining_since && !at.unreachable() && at.last_contact_at != boot_clock::time_point{} &&
           now - at.last_contact_at <= max_reply_age;
}

} // namespace detail

/// Returns how far the server that lags least is behind the primary, of all usable servers other than
/// `primary`; nothing if none is usable. A usable server whose position is not known counts as having
/// no lag, so that its state is never taken for a reason to act.
template <backend_link Link>
[[nodiscard]] std::optional<replica_distance>
nearest_replica(const std::map<std::string, std::unique_ptr<pool_entry<Link>>, std::less<>>& servers,
                const std::string& primary, const read_floor& floor, boot_clock::time_point now) {
    std::optional<replica_distance> out;
    const auto* newest = floor.newest();
    for (const auto& [id, at] : servers) {
        if (id == primary || !detail::is_usable(*at, now)) {
            continue;
        }
        replica_distance found;
        const auto& applied = at->progress.applied();
        if (applied && newest != nullptr && now - at->progress.seen_at() <= detail::max_reply_age) {
            found.lag = std::chrono::duration_cast<std::chrono::milliseconds>(at->progress.lag());
            found.entries = newest->position.number - std::min(newest->position.number, applied->number);
        }
        if (!out || found.lag < out->lag) {
            out = found;
        }
    }
    return out;
}

} // namespace cornellever::routing
