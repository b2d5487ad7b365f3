#pragma once

#include <algorithm>
#include <chrono>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/limits/limit_share.hpp"

namespace cornellever::limits {

/// A token bucket that grants operations one by one within one coordinator's share of a limit.
class token_bucket {
public:
    using time_point = boot_clock::time_point;

    /// Creates a bucket that starts with `level` tokens and grants nothing before `from`.
    token_bucket(const limit_share& share, double level, time_point from)
        : m_share{share}
        , m_level{std::min(level, share.capacity)}
        , m_refilled_at{from} {}

    /// Replaces the share from `now` on. If the bucket holds more tokens than the new bucket size, the surplus is
    /// discarded.
    void set_share(const limit_share& share, time_point now) {
        if (share != m_share) {
            refill(now);
            m_share = share;
            m_level = std::min(m_level, m_share.capacity);
        }
    }

    /// Takes one token. Returns false if no token is available.
    bool take(time_point now) {
        refill(now);
        if (now < m_refilled_at || m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

    /// Returns the time until a token is available, at most 5 s.
    [[nodiscard]] std::chrono::milliseconds wait(time_point now) const {
        constexpr std::chrono::milliseconds max_wait{5000};
        if (m_share.per_second <= 0.0 || m_share.capacity < 1.0) {
            return max_wait;
        }
        const std::chrono::duration<double> missing{std::max(0.0, 1.0 - m_level) / m_share.per_second};
        const auto due = std::chrono::ceil<std::chrono::milliseconds>(
            missing + std::max(m_refilled_at - now, time_point::duration{0}));
        return std::min(due, max_wait);
    }

private:
    void refill(time_point now) {
        if (now > m_refilled_at) {
            const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
            m_level = std::min(m_share.capacity, m_level + m_share.per_second * seconds);
            m_refilled_at = now;
        }
    }

    limit_share m_share;
    double m_level;
    time_point m_refilled_at;
};

} // namespace cornellever::limits
