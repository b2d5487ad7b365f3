#pragma once

// Sharing scarce connections with other proxies.

namespace cornellever::session {

template <routing::link_connector Connector>
void traffic<Connector>::set_proxies(std::vector<proxy_node> proxies, bool complete) {
    m_proxies = std::move(proxies);
    if (m_limits.set_proxies) {
        m_limits.set_proxies(m_proxies, complete);
    }
    share_connections_anew();
}

template <routing::link_connector Connector>
const connection_ownership& traffic<Connector>::share_of(const std::string& service) {
    auto [at, missing] = m_shares.try_emplace(service);
    const auto limits = m_config.services.find(service);
    if (missing && limits != m_config.services.end() && !m_proxies.empty()) {
        at->second = allocate_connections(service, limits->second.max_connections, m_proxies);
    }
    return at->second;
}

template <routing::link_connector Connector>
void traffic<Connector>::share_connections_anew() {
    m_shares.clear();
    for (auto& [name, backends] : m_pools) {
        const auto& shared = share_of(name);
        // One that was an owner until now still serves the sessions it has.
        const auto sharers = shared.owners.empty() ? m_proxies.size() : shared.owners.size();
        const bool owned = shared.owns(m_name);
        backends->set_budget(owned ? shared.connections_each : 1, sharers, owned,
                             owned ? shared.connections_each_under_load : 1);
    }
}

template <routing::link_connector Connector>
bool traffic<Connector>::owns(const std::string& database) {
    const auto route = m_config.routes.find(database);
    return route == m_config.routes.end() || share_of(route->second.service).owns(m_name);
}

/// A proxy that has just started does not know yet who owns connections. If it
/// opened its own meanwhile, after an outage of all proxies each server would
/// be full before its owners came.
template <routing::link_connector Connector>
asio::awaitable<void> traffic<Connector>::await_proxies() {
    const auto until = boot_clock::now() + proxies_limit;
    while (m_proxies.empty() && boot_clock::now() < until) {
        co_await sleep_for(std::chrono::milliseconds{20});
    }
}

/// The proxies that reach the primary of a database while this one does not.
template <routing::link_connector Connector>
std::vector<proxy_node> traffic<Connector>::ways_round(const std::string& database, std::uint64_t session) const {
    const auto route = m_config.routes.find(database);
    const auto found = route == m_config.routes.end() ? m_pools.end() : m_pools.find(route->second.service);
    if (found == m_pools.end() || !found->second->primary_silent_for(cut_after)) {
        return {};
    }
    return m_paths.through(found->first, session, boot_clock::now(), found->second->sight().heard_at);
}

/// Tells each pool whether its primary is lost to this proxy alone.
template <routing::link_connector Connector>
void traffic<Connector>::watch_paths() {
    const auto now = boot_clock::now();
    for (auto& [name, backends] : m_pools) {
        const bool silent = backends->primary_silent_for(cut_after);
        backends->set_path_cut(silent && !m_paths.through(name, 0, now, backends->sight().heard_at).empty());
    }
}

/// Ends relayed sessions at rest whose path to the primary was cut here: the
/// proxies that relay them have others to try.
template <routing::link_connector Connector>
void traffic<Connector>::close_cut_off() {
    for (auto* item : m_sessions) {
        if (item->relayed && item->status.resting && !ways_round(item->state.database, 0).empty()) {
            item->status.close_if_no_input();
        }
    }
}

} // namespace cornellever::session
