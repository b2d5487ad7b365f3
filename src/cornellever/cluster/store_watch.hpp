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

/// How a proxy keeps its copy of a metadata store table up to date: by long polls (queries that the
/// store holds open until there are changes), or from its peers.
struct watch_mode {
    /// Whether the proxy long-polls the store. Otherwise it gets changes from its peers and queries
    /// the store only if they do not confirm its copy as current.
    bool polls_store{true};
    /// If `polls_store` is true, the duration of one long poll. Otherwise, the greatest allowed age
    /// of the peers' last confirmation that the copy is current.
    std::chrono::milliseconds confirm_within{0};
    /// The latest time for which peers confirmed the copy as current; the epoch if none did.
    boot_clock::time_point confirmed_current_at{};
    /// Whether a peer holds a newer version than this proxy.
    bool behind{false};
    /// Whether this proxy queries the store if the confirmation is too old. False while all peers
    /// lack a recent confirmation too and it is up to other proxies to query the store.
    bool queries_if_unconfirmed{true};
};

/// How the proxies divide the polling of a table among themselves. Every store call costs money and
/// wakes up a proxy, and the store limits the rate of all proxies' calls together. Proxies are
/// ranked by `watch_rank`.
struct watch_policy {
    /// Duration of a long poll of the proxy with rank 0. It is short because a connection that
    /// broke silently is noticed only when the poll ends. The other proxies get from this proxy the
    /// changes that their own broken connections did not deliver.
    std::chrono::milliseconds first{0};
    /// Duration of a long poll of the other proxies in a small cluster.
    std::chrono::milliseconds small_cluster{0};
    /// Duration of a long poll of the other proxies that poll in a large cluster. The proxies that
    /// do not poll rely on the confirmations of those that do.
    std::chrono::milliseconds large_cluster{0};
    /// Number of proxies that poll the store in a large cluster.
    std::size_t max_readers{0};
    /// In a large cluster, a proxy that does not poll queries the store once the last confirmation
    /// of its copy is older than this.
    std::chrono::milliseconds max_confirmation_age{0};
};

/// In a cluster of at most this many proxies, every proxy polls the store.
inline constexpr std::size_t small_cluster_size = 12;

/// Returns the rank of the proxy `self` among the proxies that can reach the store. The order
/// differs from table to table, so that the same proxies do not poll for all tables.
[[nodiscard]] inline std::size_t watch_rank(std::string_view table, std::string_view self,
                                            std::span<const std::string> eligible) {
    const auto own_hash = stable_hash({table, "/", self});
    return static_cast<std::size_t>(std::ranges::count_if(eligible, [&](const auto& name) {
        return stable_hash({table, "/", name}) < own_hash;
    }));
}

/// Returns how many proxies may query the store `overdue` after their copies should have become
/// current through peers, `first` at the beginning and twice as many after each `step`. All lack the
/// same change or confirmation, and one that gets it passes it on to the others. If all of them
/// queried the store at the same time, the calls would grow with the cluster.
[[nodiscard]] constexpr std::size_t max_overdue_readers(std::size_t first, std::chrono::milliseconds overdue,
                                                        std::chrono::milliseconds step) {
    constexpr std::chrono::milliseconds::rep max_doublings = 16;
    return overdue.count() < 0 ? 0 : first << std::min(overdue / step, max_doublings);
}

/// Returns the watch mode of the proxy with this rank in a cluster of `proxies` proxies.
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
