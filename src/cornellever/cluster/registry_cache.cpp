#include "cornellever/cluster/registry_cache.hpp"

#include <vector>

namespace cornellever::cluster {

void registry_cache::apply(const routing::registry& registered, time_point now) {
    m_registered = registered;
    auto next = registered;
    for (const auto& [id, server] : m_effective.servers) {
        if (registered.servers.contains(id)) {
            m_missing_since.erase(id);
            continue;
        }
        // A draining server has announced its shutdown and gets no grace period.
        if (server.draining) {
            m_missing_since.erase(id);
            continue;
        }
        m_missing_since.try_emplace(id, now);
        next.servers.emplace(id, server);
    }
    m_effective = std::move(next);
    if (!expire(now)) {
        m_by_service = routing::group_by_service(m_effective);
    }
}

bool registry_cache::expire(time_point now) {
    std::vector<std::string> late;
    for (const auto& [id, since] : m_missing_since) {
        if (now - since > grace_period) {
            late.push_back(id);
        }
    }
    for (const auto& id : late) {
        m_effective.servers.erase(id);
    }
    if (!late.empty()) {
        m_by_service = routing::group_by_service(m_effective);
    }
    return !late.empty();
}

std::optional<std::chrono::milliseconds> registry_cache::missing_for(const std::string& id, time_point now) const {
    const auto found = m_missing_since.find(id);
    if (found == m_missing_since.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second);
}

} // namespace cornellever::cluster
