#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "cornellever/accounts/directory.hpp"

namespace cornellever::limits {

/// How far an account may exceed its rate limit. At most `max_operations` of the account's operations are granted in
/// any time window of this length.
struct limit_bound {
    std::chrono::milliseconds window{5000};
    /// Permitted excess as a fraction of the number of operations that the limit allows in a window.
    double overage{0.0};
    /// Permitted excess as a number of operations, in addition to `overage`.
    double slack{0.0};

    /// Returns the maximum number of operations in a window for an account with this limit.
    [[nodiscard]] double max_operations(const accounts::rate_limit& limit) const {
        const double seconds = std::chrono::duration<double>(window).count();
        return (limit.per_second * seconds + limit.burst) * (1.0 + overage) + slack;
    }
};

/// One coordinator's share of an account's limit, as the parameters of a token bucket. A coordinator is a proxy that
/// grants operations of the account.
struct limit_share {
    /// Refill rate in operations per second.
    double per_second{0.0};
    /// Bucket size: the number of operations that may arrive at the same time.
    double capacity{0.0};
    /// Bucket level after the coordinator's process starts, when it is unknown what the previous process granted.
    double initial_level{0.0};

    friend bool operator==(const limit_share&, const limit_share&) = default;
};

/// Maximum number of coordinators that an account's limit is divided among. If a coordinator fails, its share is not
/// granted until another proxy takes the share over. Until then the other coordinators can still serve every operation
/// of an account whose rate is below the limit by more than that share.
inline constexpr std::size_t max_coordinators = 8;

/// Minimum bucket size of a share, in operations. Because operations do not arrive at even intervals, a smaller bucket
/// would refuse operations of accounts that are far below their limit.
inline constexpr double min_share_capacity = 2.0;

/// The fractions of `limit_bound::slack` that are added to the size of the coordinators' buckets and that the buckets
/// contain after a start. All coordinators may start twice within a window, so the fractions must satisfy 0.4 + 2 * 0.3
/// = 1.
inline constexpr double slack_capacity_fraction = 0.4;
inline constexpr double slack_initial_fraction = 0.3;

/// Returns the sum of the bucket sizes of an account's coordinators.
[[nodiscard]] inline double total_capacity(const accounts::rate_limit& limit, const limit_bound& bound) {
    return limit.burst * (1.0 + bound.overage) + slack_capacity_fraction * bound.slack;
}

/// Returns how many of `proxies` proxies coordinate an account's limit.
[[nodiscard]] inline std::size_t coordinator_count(const accounts::rate_limit& limit, const limit_bound& bound,
                                                   std::size_t proxies) {
    const auto useful = std::max(1.0, std::floor(total_capacity(limit, bound) / min_share_capacity));
    const auto available = std::max<std::size_t>(1, std::min(max_coordinators, proxies));
    return useful < static_cast<double>(available) ? static_cast<std::size_t>(useful) : available;
}

/// Returns the share of each of an account's coordinators. Each coordinator grants at most its bucket size plus the
/// refill during a window. The shares are computed so that the sum of these amounts is at most `bound.max_operations`,
/// without communication between the coordinators.
[[nodiscard]] inline limit_share share_of(const accounts::rate_limit& limit, const limit_bound& bound,
                                          std::size_t coordinators) {
    const auto number = static_cast<double>(coordinators);
    return {.per_second = limit.per_second * (1.0 + bound.overage) / number,
            .capacity = total_capacity(limit, bound) / number,
            .initial_level = slack_initial_fraction * bound.slack / number};
}

} // namespace cornellever::limits
