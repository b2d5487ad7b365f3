#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "cornellever/core/stable_hash.hpp"

namespace cornellever::cluster {

/// How a proxy keeps up with a table of the metadata store.
struct watch_pace {
    /// Whether it waits for changes at the store. Otherwise it learns of them
    /// from its peers, and reads the table now and then in case that it didn't.
    bool waits{true};
    /// How long one question for changes waits, or the pause between readings.
    std::chrono::milliseconds span{0};
};

/// The pace for a table. Every call to the store is paid for and wakes a
/// proxy, and the store takes a limited number of calls from all together.
struct watch_plan {
    /// One proxy, the first of the table, asks at short intervals. A connection
    /// that went silent shows at the end of the interval; its peers hear from
    /// it what theirs did not bring.
    std::chrono::milliseconds first{0};
    /// The others, while the proxies are few.
    std::chrono::milliseconds few{0};
    /// The same with many proxies.
    std::chrono::milliseconds many{0};
    /// With many proxies, only so many wait for changes; all when 0.
    std::size_t readers{0};
};

/// With up to so many proxies every one waits for changes by itself.
inline constexpr std::size_t few_proxies_watch = 12;

/// The place of `self` among the proxies that reach the store, other for each
/// table, so that not always the same ones do the work.
[[nodiscard]] inline std::size_t watch_rank(std::string_view table, std::string_view self,
                                            std::span<const std::string> able) {
    const auto mine = stable_hash({table, "/", self});
    return static_cast<std::size_t>(std::ranges::count_if(able, [&](const auto& name) {
        return stable_hash({table, "/", name}) < mine;
    }));
}

/// The pace of the proxy of this rank among so many.
[[nodiscard]] constexpr watch_pace pace_of(const watch_plan& plan, std::size_t rank, std::size_t proxies) {
    /// A reading of the whole table in case that no peer told of a change.
    constexpr std::chrono::milliseconds reading_period{30'000};
    if (rank == 0) {
        return {.waits = true, .span = plan.first};
    }
    if (proxies <= few_proxies_watch) {
        return {.waits = true, .span = plan.few};
    }
    if (plan.readers != 0 && rank >= plan.readers) {
        return {.waits = false, .span = reading_period};
    }
    return {.waits = true, .span = plan.many};
}

} // namespace cornellever::cluster
