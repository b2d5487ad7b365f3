#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/stable_hash.hpp"

namespace cornellever::cluster {

/// How a proxy keeps its copy of a metadata store table up to date: by long polls at the store, or
/// from its peers.
struct watch_mode {
    /// Whether it waits at the store for changes. Otherwise it gets them from its peers and queries
    /// the store only if they do not confirm its copy as current.
    bool polls_store{true};
    /// With `polls_store`, the duration of one long poll. Otherwise, the greatest age of the peers'
    /// last confirmation that the copy is current.
    std::chrono::milliseconds confirm_within{0};
    /// Time for which peers confirmed the copy as current; the epoch if none did.
    boot_clock::time_point confirmed_current_at{};
    /// A peer holds a newer version than this proxy.
    bool behind{false};
};

/// How the proxies share the work of following a table. Every store call is paid for and wakes a
/// proxy, and the store limits the calls of all proxies together.
struct watch_policy {
    /// Duration of a long poll of the proxy of rank 0. It is short, because a connection that
    /// silently broke is noticed when the poll ends; the other proxies then get from this one the
    /// changes that their own connections missed.
    std::chrono::milliseconds first{0};
    /// Duration of a long poll of the other proxies in a small cluster.
    std::chrono::milliseconds small_cluster{0};
    /// Duration of a long poll of the other proxies that poll in a large cluster; their
    /// confirmations keep the rest current.
    std::chrono::milliseconds large_cluster{0};
    /// In a large cluster, the number of proxies that poll the store.
    std::size_t max_readers{0};
    /// In a large cluster, the proxies that do not poll query the store once the last confirmation
    /// of their copy is older than this.
    std::chrono::milliseconds max_confirmation_age{0};
};

/// In a cluster of up to this many proxies, each one polls the store.
inline constexpr std::size_t small_cluster_size = 12;

/// The rank of `self` among the proxies that reach the store. The order differs by table, so that
/// the work is not always done by the same proxies.
[[nodiscard]] inline std::size_t watch_rank(std::string_view table, std::string_view self,
                                            std::span<const std::string> eligible) {
    const auto own_hash = stable_hash({table, "/", self});
    return static_cast<std::size_t>(std::ranges::count_if(eligible, [&](const auto& name) {
        return stable_hash({table, "/", name}) < own_hash;
    }));
}

/// The mode of the proxy of this rank in a cluster of `proxies` proxies.
[[nodiscard]] constexpr watch_mode watch_mode_for(const watch_policy& policy, std::size_t rank, std::size_t proxies) {
    if (rank == 0) {
        return {.polls_store = true, .confirm_within = policy.first};
    }
    if (proxies <= small_cluster_size) {
        return {.polls_store = true, .confirm_within = policy.small_cluster};
    }
    if (rank >= policy.max_readers) {
        return {.polls_store = false, .confirm_within = policy.max_confirmation_age};
    }
    return {.polls_store = true, .confirm_within = policy.large_cluster};
}

} // namespace cornellever::cluster
