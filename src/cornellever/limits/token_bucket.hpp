#pragma once

#include <algorithm>
#include <chrono>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/limits/limit_share.hpp"

namespace cornellever::limits {

/// Grants operations one by one within a share of a limit.
class token_bucket {
public:
    using time_point = boot_clock::time_point;

    /// Holds `level` to begin with and grants nothing before `from`.
    token_bucket(const limit_share& share, double level, time_point from)
        : m_share{share}
        , m_level{std::min(level, share.capacity)}
        , m_at{from} {}

    /// Another limit holds from `now` on. What was saved up under the one before
    /// counts no further than the new one allows.
    void set(const limit_share& share, time_point now) {
        if (share != m_share) {
            fill(now);
            m_share = share;
            m_level = std::min(m_level, m_share.capacity);
        }
    }

    /// Takes one operation; whether there was one.
    bool take(time_point now) {
        fill(now);
        if (now < m_at || m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

    /// How long until there is one.
    [[nodiscard]] std::chrono::milliseconds wait(time_point now) const {
        constexpr std::chrono::milliseconds longest{5000};
        if (m_share.per_second <= 0.0 || m_share.capacity < 1.0) {
            return longest;
        }
        const std::chrono::duration<double> missing{std::max(0.0, 1.0 - m_level) / m_share.per_second};
        const auto due =
            std::chrono::ceil<std::chrono::milliseconds>(missing + std::max(m_at - now, time_point::duration{0}));
        return std::min(due, longest);
    }

private:
    void fill(time_point now) {
        if (now > m_at) {
            const double seconds = std::chrono::duration<double>(now - m_at).count();
            m_level = std::min(m_share.capacity, m_level + m_share.per_second * seconds);
            m_at = now;
        }
    }

    limit_share m_share;
    double m_level;
    time_point m_at;
};

} // namespace cornellever::limits
