#pragma once

#include <map>
#include <span>
#include <string>

#include "cornellever/routing/model.hpp"
#include "cornellever/session/connection_ownership.hpp"

namespace cornellever::session {

/// The connection owners of services, computed on first use. Ranking all proxies for a service is too slow to be
/// repeated for each request or heartbeat.
class ownership_cache {
public:
    /// Returns the owners of a service's connections. Every proxy is an owner while no proxies are known, or if the
    /// configuration has no limits for the service. `config` and `proxies` must be the same in all calls until `clear`.
    /// The result is valid until `clear`, or until `update_slots` returns true.
    [[nodiscard]] const connection_ownership& find(const std::string& service, const routing::configuration& config,
                                                   std::span<const proxy_node> proxies);

    /// Sets the number of execution slots of each service's servers from the registered `servers` and forgets the
    /// owners of the services whose number changed. Returns whether any changed. A service without a registered server
    /// keeps its last known number: an empty registry, as during an outage of the store, must not change the owners.
    bool update_slots(const routing::registry& servers);

    /// Forgets all owners, because the configuration or the list of proxies changed.
    void clear() { m_owners.clear(); }

private:
    /// The largest number of execution slots of a server, by service.
    std::map<std::string, std::size_t, std::less<>> m_slots;
    std::map<std::string, connection_ownership, std::less<>> m_owners;
};

} // namespace cornellever::session
