#include "cornellever/routing/drain_times.hpp"

namespace cornellever::routing {

void drain_times::update(const registry& before, const registry& next, time_point now) {
    std::erase_if(m_since, [&](const auto& item) {
        const auto found = next.servers.find(item.first);
        return found == next.servers.end() || !found->second.draining;
    });
    for (const auto& [id, server] : next.servers) {
        if (server.draining) {
            m_since.try_emplace(id, before.servers.contains(id) ? now : now - unknown_age);
        }
    }
}

std::optional<drain_times::time_point> drain_times::since(std::string_view id) const {
    const auto found = m_since.find(id);
    return found == m_since.end() ? std::nullopt : std::optional{found->second};
}

} // namespace cornellever::routing
