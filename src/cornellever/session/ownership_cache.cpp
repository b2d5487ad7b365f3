#include "cornellever/session/ownership_cache.hpp"

#include <algorithm>
#include <string_view>

namespace cornellever::session {

bool ownership_cache::update_slots(const routing::registry& servers) {
    std::map<std::string_view, std::size_t> latest;
    for (const auto& [id, server] : servers.servers) {
        auto& slots = latest[server.service];
        slots = std::max(slots, server.slots);
    }
    bool changed = false;
    for (const auto& [service, slots] : latest) {
        auto& known = m_slots[std::string{service}];
        if (known != slots) {
            known = slots;
            m_owners.erase(std::string{service});
            changed = true;
        }
    }
    return changed;
}

const connection_ownership& ownership_cache::find(const std::string& service, const routing::configuration& config,
                                                  std::span<const proxy_node> proxies) {
    auto [at, missing] = m_owners.try_emplace(service);
    const auto limits = config.services.find(service);
    if (missing && limits != config.services.end() && !proxies.empty()) {
        const auto slots = m_slots.find(service);
        at->second = allocate_connections(service, limits->second.max_connections, proxies, config.services.size(),
                                          slots == m_slots.end() ? 0 : slots->second);
    }
    return at->second;
}

} // namespace cornellever::session
