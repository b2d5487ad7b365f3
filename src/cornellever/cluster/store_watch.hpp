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

/// How a proxy keeps up with a table of the metadata store.
struct watch_mode {
    /// Whether it waits for changes at the store. Otherwise it learns of them
    /// from its peers, and asks by itself where they leave it without word.
    bool polls_store{true};
    /// How long one question for changes waits. For a proxy that relies on its
    /// peers: how old their word may be that its copy of the table is current.
    std::chrono::milliseconds confirm_within{0};
    /// The moment of which peers said so; the epoch when none did.
    boot_clock::time_point confirmed_current_at{};
    /// A peer holds a newer version than this proxy.
    bool behind{false};
};

/// The pace for a table. Every call to the store is paid for and wakes a
/// proxy, and the store takes a limited number of calls from all together.
struct watch_policy {
    /// One proxy, the first of the table, asks at short intervals. A connection
    /// that went silent shows at the end of the interval; its peers hear from
    /// it what theirs did not bring.
    std::chrono::milliseconds first{0};
    /// The others, while the proxies are few.
    std::chrono::milliseconds small_cluster{0};
    /// With many proxies, those after the first that wait too: what they hear
    /// keeps the others current.
    std::chrono::milliseconds large_cluster{0};
    /// With many proxies, only so many wait for changes.
    std::size_t max_readers{0};
    /// With many proxies, the others ask by themselves when nobody said for so
    /// long that their copy is current.
    std::chrono::milliseconds max_confirmation_age{0};
};

/// With up to so many proxies every one waits for changes by itself.
inline constexpr std::size_t small_cluster_size = 12;

/// The place of `self` among the proxies that reach the store, other for each
/// table, so that not always the same ones do the work.
[[nodiscard]] inline std::size_t watch_rank(std::string_view table, std::string_view self,
                                            std::span<const std::string> eligible) {
    const auto mine = stable_hash({table, "/", self});
    return static_cast<std::size_t>(std::ranges::count_if(eligible, [&](const auto& name) {
        return stable_hash({table, "/", name}) < mine;
    }));
}

/// The pace of the proxy of this rank among so many.
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
