#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/servers_by_service.hpp"

namespace cornellever::cluster {

/// The backend servers in use: those registered, and for a grace period also those whose entry has
/// disappeared. An entry expires even for a healthy server that cannot reach the store for a while;
/// dropping the server at once would stop all writes although nothing is wrong with it.
class registry_cache {
public:
    using time_point = boot_clock::time_point;

    registry_cache() = default;
    registry_cache(const registry_cache&) = delete;
    registry_cache& operator=(const registry_cache&) = delete;

    /// Replaces the registered servers.
    void apply(const routing::registry& registered, time_point now);

    /// Sets a newer version for the same servers.
    void renumber(std::uint64_t version) {
        m_registered.version = version;
        m_effective.version = version;
    }

    /// Drops the servers whose entry has been missing for longer than the grace period; returns
    /// whether there were any.
    bool expire(time_point now);

    [[nodiscard]] const routing::registry& effective() const noexcept { return m_effective; }

    /// The servers in `effective` by service; valid until the next change.
    [[nodiscard]] const routing::servers_by_service& by_service() const noexcept { return m_by_service; }

    /// The registered servers without those in their grace period. Peers get these: a server that
    /// one proxy retains must not look registered to another.
    [[nodiscard]] const routing::registry& registered() const noexcept { return m_registered; }

    /// How long the entry of a server has been missing; nothing if it is present or the server is
    /// unknown.
    [[nodiscard]] std::optional<std::chrono::milliseconds> missing_for(const std::string& id, time_point now) const;

private:
    /// Entries are back about 2 s after the store is. A server gets no new work 7 s after its entry
    /// disappeared (the operators' drain time), which leaves room for requests in progress.
    static constexpr std::chrono::milliseconds grace_period{4500};

    routing::registry m_registered;
    routing::registry m_effective;
    routing::servers_by_service m_by_service;
    std::map<std::string, time_point, std::less<>> m_missing_since;
};

} // namespace cornellever::cluster
