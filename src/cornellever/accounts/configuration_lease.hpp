#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::accounts {

/// How long a proxy may rely on its copy of the configuration to say whose a
/// key is. A key that is taken away must not run anything after a bound, also
/// where the proxy was cut off, frozen or turned away and never heard of it: so
/// the copy counts for a limited time from the last moment of which the store,
/// or a peer that had it from the store, said that no newer one existed.
class configuration_lease {
public:
    using time_point = boot_clock::time_point;

    /// `bound` is the time after the acknowledgement of a change by which a key
    /// must be dead; nothing where only proxies in touch have to keep it.
    explicit configuration_lease(std::optional<std::chrono::milliseconds> bound = std::nullopt) : m_bound{bound} {}

    /// The copy at hand, or an older one, was the newest at `at`.
    void confirm_current(time_point at) { m_proven_at = std::max(m_proven_at, at); }

    /// Whether the copy may be relied on at `now`.
    [[nodiscard]] bool holds(time_point now) const {
        return !m_bound || (m_proven_at != time_point{} && now - m_proven_at < *m_bound - reserve);
    }

    /// How long ago the copy was the newest.
    [[nodiscard]] std::chrono::nanoseconds age(time_point now) const { return now - m_proven_at; }

    [[nodiscard]] bool ever_confirmed() const noexcept { return m_proven_at != time_point{}; }

private:
    /// Clocks that run at different rates, ages that were rounded, and the way of
    /// a statement from the check to the server.
    static constexpr std::chrono::milliseconds reserve{200};

    std::optional<std::chrono::milliseconds> m_bound;
    time_point m_proven_at{};
};

} // namespace cornellever::accounts
