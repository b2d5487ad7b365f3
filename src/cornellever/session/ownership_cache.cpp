#include "cornellever/session/ownership_cache.hpp"

namespace cornellever::session {

const connection_ownership& ownership_cache::find(const std::string& service, const routing::configuration& config,
                                                  std::span<const proxy_node> proxies) {
    auto [at, missing] = m_owners.try_emplace(service);
    const auto limits = config.services.find(service);
    if (missing && limits != config.services.end() && !proxies.empty()) {
        at->second = allocate_connections(service, limits->second.max_connections, proxies, config.services.size());
    }
    return at->second;
}

} // namespace cornellever::session
