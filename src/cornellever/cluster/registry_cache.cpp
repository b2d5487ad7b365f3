#include "cornellever/cluster/registry_cache.hpp"

#include <algorithm>
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
        update_services(now);
    }
}

void registry_cache::update_services(time_point now) {
    m_by_service = routing::group_by_service(m_effective);
    m_unsettled.clear();
    std::erase_if(m_leaderless_since, [&](const auto& item) { return !m_by_service.contains(item.first); });
    for (const auto& [service, servers] : m_by_service) {
        const auto missing = [&](const auto* server) { return m_missing_since.contains(server->id); };
        const bool has_primary = std::ranges::any_of(servers, [&](const auto* server) {
            return server->role == routing::server_role::primary && !missing(server);
        });
        if (has_primary) {
            m_leaderless_since.erase(service);
        } else {
            m_leaderless_since.try_emplace(service, m_loaded ? now : time_point{});
        }
        const bool changing =
            std::ranges::any_of(servers, [&](const auto* server) { return server->draining || missing(server); });
        if (!has_primary || changing) {
            m_unsettled.insert(service);
        }
    }
    m_loaded = true;
}

bool registry_cache::expire(time_point now) {
    std::vector<std::string> late;
    for (const auto& [id, since] : m_missing_since) {
        if (now - since > grace_period && m_effective.servers.contains(id)) {
            late.push_back(id);
        }
    }
    for (const auto& id : late) {
        m_effective.servers.erase(id);
    }
    if (!late.empty()) {
        update_services(now);
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

std::optional<registry_cache::time_point> registry_cache::leaderless_since(std::string_view service) const {
    const auto found = m_leaderless_since.find(service);
    return found == m_leaderless_since.end() ? std::nullopt : std::optional{found->second};
}

} // namespace cornellever::cluster
