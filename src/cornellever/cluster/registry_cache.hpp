#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/servers_by_service.hpp"

namespace cornellever::cluster {

/// The backend servers in use: those that are registered, and for a grace period also those whose
/// registry entry has disappeared. The entry of a healthy server expires too if the server cannot
/// reach the store for a while; dropping the server immediately would stop all writes although it
/// still works.
class registry_cache {
public:
    using time_point = boot_clock::time_point;

    registry_cache() = default;
    registry_cache(const registry_cache&) = delete;
    registry_cache& operator=(const registry_cache&) = delete;

    /// Replaces the registered servers.
    void apply(const routing::registry& registered, time_point now);

    /// Sets the version of a newer registry that lists the same servers.
    void renumber(std::uint64_t version) {
        m_registered.version = version;
        m_effective.version = version;
    }

    /// Drops the servers whose entry has been missing for longer than the grace period. Returns
    /// whether any server was dropped.
    bool expire(time_point now);

    [[nodiscard]] const routing::registry& effective() const noexcept { return m_effective; }

    /// Returns the servers in `effective()` by service. The result is valid until the next change.
    [[nodiscard]] const routing::servers_by_service& by_service() const noexcept { return m_by_service; }

    /// Returns the services whose registry entries alone may require a new primary: a server is
    /// missing or draining, or no server is registered as the primary.
    [[nodiscard]] const std::set<std::string, std::less<>>& unsettled_services() const noexcept { return m_unsettled; }

    /// Returns since when no server is registered as the service's primary, or nullopt if one is.
    /// Services that had none in the first registry get the epoch.
    [[nodiscard]] std::optional<time_point> leaderless_since(std::string_view service) const;

    /// Returns only the registered servers, without those in their grace period. This is what peers
    /// are sent, so that a server retained by one proxy does not look registered to another.
    [[nodiscard]] const routing::registry& registered() const noexcept { return m_registered; }

    /// Returns how long a server's entry has been missing, or nullopt if the entry is present or
    /// the server is unknown.
    [[nodiscard]] std::optional<std::chrono::milliseconds> missing_for(const std::string& id, time_point now) const;

private:
    /// Entries are back about 2 s after an outage of the store ends, so the grace period must be
    /// longer. A server must get no new work from 7 s after its entry disappeared (the operators'
    /// drain time), and the period ends earlier than that to leave time for requests in progress.
    static constexpr std::chrono::milliseconds grace_period{4500};

    void update_services(time_point now);

    routing::registry m_registered;
    routing::registry m_effective;
    routing::servers_by_service m_by_service;
    std::set<std::string, std::less<>> m_unsettled;
    std::map<std::string, time_point, std::less<>> m_leaderless_since;
    bool m_loaded{false};
    std::map<std::string, time_point, std::less<>> m_missing_since;
};

} // namespace cornellever::cluster
