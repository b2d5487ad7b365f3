#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "cornellever/accounts/directory.hpp"

namespace cornellever::limits {

/// What counts as over an account's limit: in no window of this length may more
/// operations run than the limit allows, by more than a part of that and some.
struct limit_bound {
    std::chrono::milliseconds window{5000};
    /// The part by which a window may go over.
    double overage{0.0};
    /// Operations by which a window may go over besides.
    double slack{0.0};

    /// The most operations of an account in a window.
    [[nodiscard]] double most(const accounts::rate_limit& limit) const {
        const double seconds = std::chrono::duration<double>(window).count();
        return (limit.per_second * seconds + limit.burst) * (1.0 + overage) + slack;
    }
};

/// One coordinator's part of an account's limit.
struct limit_share {
    double per_second{0.0};
    /// Operations that may come at once.
    double capacity{0.0};
    /// What it grants of that when it has just started. It can't know what its
    /// process before granted.
    double at_start{0.0};

    friend bool operator==(const limit_share&, const limit_share&) = default;
};

/// Coordinators among whom an account's limit is shared out. The loss of one
/// costs its share until another takes its place, which others fill as long as
/// the account stays below the limit by more than that.
inline constexpr std::size_t most_coordinators = 8;

/// A share that holds less than this at a time would refuse callers far below
/// the limit: their operations come one by one, not evenly.
inline constexpr double least_capacity = 2.0;

/// Parts of the slack that coordinators hold beyond the burst, and grant when
/// they start. All of them may start twice in a window: 0.4 + 2 * 0.3 = 1.
inline constexpr double slack_held = 0.4;
inline constexpr double slack_at_start = 0.3;

/// All that an account's coordinators grant at once, in sum.
[[nodiscard]] inline double whole_capacity(const accounts::rate_limit& limit, const limit_bound& bound) {
    return limit.burst * (1.0 + bound.overage) + slack_held * bound.slack;
}

/// How many of `proxies` coordinate an account's limit.
[[nodiscard]] inline std::size_t coordinators_of(const accounts::rate_limit& limit, const limit_bound& bound,
                                                 std::size_t proxies) {
    const auto useful = std::max(1.0, std::floor(whole_capacity(limit, bound) / least_capacity));
    const auto most = std::max<std::size_t>(1, std::min(most_coordinators, proxies));
    return useful < static_cast<double>(most) ? static_cast<std::size_t>(useful) : most;
}

/// The part of each of an account's coordinators. In a window all of them grant
/// no more than `bound.most`, though they never speak to each other: each grants
/// what its bucket holds at most and what flows into it meanwhile.
[[nodiscard]] inline limit_share share_of(const accounts::rate_limit& limit, const limit_bound& bound,
                                          std::size_t coordinators) {
    const auto number = static_cast<double>(coordinators);
    return {.per_second = limit.per_second * (1.0 + bound.overage) / number,
            .capacity = whole_capacity(limit, bound) / number,
            .at_start = slack_at_start * bound.slack / number};
}

} // namespace cornellever::limits
