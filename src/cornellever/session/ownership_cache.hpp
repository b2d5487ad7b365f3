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
    /// The result is valid until `clear`.
    [[nodiscard]] const connection_ownership& find(const std::string& service, const routing::configuration& config,
                                                   std::span<const proxy_node> proxies);

    /// Forgets all owners, because the configuration or the list of proxies changed.
    void clear() { m_owners.clear(); }

private:
    std::map<std::string, connection_ownership, std::less<>> m_owners;
};

} // namespace cornellever::session
