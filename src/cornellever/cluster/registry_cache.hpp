#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/servers_by_service.hpp"

namespace cornellever::cluster {

/// The backend servers to reckon with: those registered, and those whose entry
/// has gone just now. An entry also goes when its server, alive and serving,
/// can't reach the store for a while; dropping it at once would stop all
/// writes although nothing is wrong with the server.
class registry_cache {
public:
    using time_point = boot_clock::time_point;

    registry_cache() = default;
    registry_cache(const registry_cache&) = delete;
    registry_cache& operator=(const registry_cache&) = delete;

    /// Takes the registered servers as they are now.
    void apply(const routing::registry& registered, time_point now);

    /// The same servers under a newer version.
    void renumber(std::uint64_t version) {
        m_registered.version = version;
        m_effective.version = version;
    }

    /// Drops what has been missing for too long; true when that changed
    /// anything.
    bool expire(time_point now);

    [[nodiscard]] const routing::registry& effective() const noexcept { return m_effective; }

    /// The servers of `effective` by their service; valid until the next change.
    [[nodiscard]] const routing::servers_by_service& by_service() const noexcept { return m_by_service; }

    /// What is registered, without what is kept. Peers are told this: what one
    /// proxy keeps must not look registered to another.
    [[nodiscard]] const routing::registry& registered() const noexcept { return m_registered; }

    /// How long the entry of a server has been gone; nothing while it is there
    /// or for a server not known.
    [[nodiscard]] std::optional<std::chrono::milliseconds> missing_for(const std::string& id, time_point now) const;

private:
    /// Entries are back about 2 s after the store is; a server gets nothing
    /// new 7 s after its entry went (the operators' drain time), with room for
    /// what is under way.
    static constexpr std::chrono::milliseconds grace_period{4500};

    routing::registry m_registered;
    routing::registry m_effective;
    routing::servers_by_service m_by_service;
    std::map<std::string, time_point, std::less<>> m_missing_since;
};

} // namespace cornellever::cluster
