#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "cornellever/accounts/directory.hpp"

namespace cornellever::limits {

/// How far an account may exceed its limit: no window of this length may hold more than `max_operations` of its
/// operations.
struct limit_bound {
    std::chrono::milliseconds window{5000};
    /// Permitted excess as a fraction of what the limit allows in a window.
    double overage{0.0};
    /// Permitted excess in operations, in addition to `overage`.
    double slack{0.0};

    /// Maximum number of operations in a window of an account with this limit.
    [[nodiscard]] double max_operations(const accounts::rate_limit& limit) const {
        const double seconds = std::chrono::duration<double>(window).count();
        return (limit.per_second * seconds + limit.burst) * (1.0 + overage) + slack;
    }
};

/// One coordinator's share of an account's limit, as the parameters of a token bucket.
struct limit_share {
    /// Refill rate in operations per second.
    double per_second{0.0};
    /// Bucket size: operations that may arrive at once.
    double capacity{0.0};
    /// Bucket level after a process start, when it is unknown what the previous process granted.
    double initial_level{0.0};

    friend bool operator==(const limit_share&, const limit_share&) = default;
};

/// Maximum number of coordinators that an account's limit is divided among. The share of a coordinator that fails is
/// not granted until another proxy takes it over; until then the other coordinators still serve an account that stays
/// below its limit by more than that share.
inline constexpr std::size_t max_coordinators = 8;

/// Minimum bucket size of a share, in operations. A smaller bucket would refuse callers that are far below their
/// limit, because operations do not arrive at even intervals.
inline constexpr double min_share_capacity = 2.0;

/// Fractions of the slack that the coordinators' buckets hold in addition to the burst, and contain after a start.
/// All coordinators may start twice within a window: 0.4 + 2 * 0.3 = 1.
inline constexpr double slack_capacity_fraction = 0.4;
inline constexpr double slack_initial_fraction = 0.3;

/// Sum of the bucket sizes of an account's coordinators.
[[nodiscard]] inline double total_capacity(const accounts::rate_limit& limit, const limit_bound& bound) {
    return limit.burst * (1.0 + bound.overage) + slack_capacity_fraction * bound.slack;
}

/// How many of `proxies` proxies coordinate an account's limit.
[[nodiscard]] inline std::size_t coordinator_count(const accounts::rate_limit& limit, const limit_bound& bound,
                                                   std::size_t proxies) {
    const auto useful = std::max(1.0, std::floor(total_capacity(limit, bound) / min_share_capacity));
    const auto available = std::max<std::size_t>(1, std::min(max_coordinators, proxies));
    return useful < static_cast<double>(available) ? static_cast<std::size_t>(useful) : available;
}

/// The share of each of an account's coordinators. Together they grant at most `bound.max_operations` in a window
/// without communicating: each grants at most its bucket size plus the refill during the window.
[[nodiscard]] inline limit_share share_of(const accounts::rate_limit& limit, const limit_bound& bound,
                                          std::size_t coordinators) {
    const auto number = static_cast<double>(coordinators);
    return {.per_second = limit.per_second * (1.0 + bound.overage) / number,
            .capacity = total_capacity(limit, bound) / number,
            .initial_level = slack_initial_fraction * bound.slack / number};
}

} // namespace cornellever::limits
