#include "cornellever/routing/drain_times.hpp"

#include <algorithm>

namespace cornellever::routing {

void drain_times::update(const registry& before, const registry& next, time_point before_current_at, time_point now) {
    const auto earliest_unnoticed = std::min(now, before_current_at + usual_delay);
    std::erase_if(m_since, [&](const auto& item) {
        const auto found = next.servers.find(item.first);
        return found == next.servers.end() || !found->second.draining;
    });
    for (const auto& [id, server] : next.servers) {
        if (server.draining) {
            m_since.try_emplace(id, before.servers.contains(id) ? earliest_unnoticed : now - unknown_age);
        }
    }
}

std::optional<drain_times::time_point> drain_times::since(std::string_view id) const {
    const auto found = m_since.find(id);
    return found == m_since.end() ? std::nullopt : std::optional{found->second};
}

} // namespace cornellever::routing
