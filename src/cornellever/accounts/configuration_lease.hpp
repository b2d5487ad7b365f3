#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::accounts {

/// Limits how long a proxy may authenticate keys against its copy of the configuration. A revoked key must stop working
/// within a time bound at every proxy. This includes a proxy that never learned of the revocation because it was
/// partitioned or suspended, or because the configuration store refused its requests. A proxy's copy therefore expires
/// a limited time after the last moment at which the store confirmed that no newer version existed. The confirmation
/// may also come from a peer (another proxy) that had read the configuration from the store.
class configuration_lease {
public:
    using time_point = boot_clock::time_point;

    /// `bound` is the time after the acknowledgement of a revocation by which every proxy rejects the key. Without a
    /// bound the lease never expires, so proxies that receive no updates continue to accept the key.
    explicit configuration_lease(std::optional<std::chrono::milliseconds> bound = std::nullopt) : m_bound{bound} {}

    /// Records that this copy, or an older one, was the newest version at `at`.
    void confirm_current(time_point at) { m_confirmed_at = std::max(m_confirmed_at, at); }

    /// Whether the proxy may authenticate keys against its copy at `now`.
    [[nodiscard]] bool is_valid(time_point now) const {
        return !m_bound || (m_confirmed_at != time_point{} && now - m_confirmed_at < *m_bound - safety_margin);
    }

    /// Time since the copy was last confirmed to be the newest version.
    [[nodiscard]] std::chrono::nanoseconds age(time_point now) const { return now - m_confirmed_at; }

    [[nodiscard]] bool ever_confirmed() const noexcept { return m_confirmed_at != time_point{}; }

private:
    /// Covers clocks that run at different rates, rounding of transmitted times, and the time between the check of a
    /// statement and its arrival at the server.
    static constexpr std::chrono::milliseconds safety_margin{200};

    std::optional<std::chrono::milliseconds> m_bound;
    time_point m_confirmed_at{};
};

} // namespace cornellever::accounts
