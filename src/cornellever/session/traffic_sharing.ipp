#pragma once

// Connection ownership (which proxies hold connections to a service's servers), and detours (sessions relayed to a peer
// because the network path from this proxy to a primary is cut).

namespace cornellever::session {

template <routing::link_connector Connector>
void traffic<Connector>::set_proxies(std::vector<proxy_node> proxies, bool complete) {
    m_proxies = std::move(proxies);
    if (m_limits.set_proxies) {
        m_limits.set_proxies(m_proxies, complete);
    }
    update_connection_budgets();
}

template <routing::link_connector Connector>
const connection_ownership& traffic<Connector>::ownership_of(const std::string& service) {
    return m_ownership.find(service, m_config, m_proxies);
}

template <routing::link_connector Connector>
void traffic<Connector>::update_connection_budgets() {
    m_ownership.clear();
    for (auto& [name, backends] : m_pools) {
        const auto& ownership = ownership_of(name);
        // A proxy that is no longer an owner keeps a budget of one connection for the sessions that it still serves.
        const auto owner_count = ownership.owners.empty() ? m_proxies.size() : ownership.owners.size();
        const bool is_owner = ownership.owns(m_name);
        backends->set_budget(is_owner ? ownership.connections_each : 1, owner_count, is_owner,
                             is_owner ? ownership.connections_each_under_load : 1);
    }
}

template <routing::link_connector Connector>
bool traffic<Connector>::owns(const std::string& database) {
    const auto route = m_config.routes.find(database);
    return route == m_config.routes.end() || ownership_of(route->second.service).owns(m_name);
}

/// Waits up to `max_membership_wait` until the proxies of the cluster are known. A proxy that has just started does not
/// know yet which proxies own the connections. If every proxy opened connections itself during this time, the servers'
/// connection limits would be exhausted after an outage of all proxies before the owners connect.
template <routing::link_connector Connector>
asio::awaitable<void> traffic<Connector>::await_proxies() {
    const auto until = boot_clock::now() + max_membership_wait;
    while (m_proxies.empty() && boot_clock::now() < until) {
        co_await sleep_for(std::chrono::milliseconds{20});
    }
}

/// Returns the peers that reach the primary of a database while this proxy does not; empty if this proxy reaches the
/// primary or no peer does.
template <routing::link_connector Connector>
std::vector<proxy_node> traffic<Connector>::detour_peers(const std::string& database, std::uint64_t session) const {
    const auto route = m_config.routes.find(database);
    const auto found = route == m_config.routes.end() ? m_pools.end() : m_pools.find(route->second.service);
    if (found == m_pools.end() || !found->second->primary_unreachable_for(primary_silence_limit)) {
        return {};
    }
    return m_paths.peers_reaching(found->first, session, boot_clock::now(),
                                  found->second->observation().last_contact_at);
}

/// Updates in each pool whether the network path to the pool's primary is cut, which is the case if peers reach the
/// primary while this proxy does not.
template <routing::link_connector Connector>
void traffic<Connector>::update_paths() {
    const auto now = boot_clock::now();
    for (auto& [name, backends] : m_pools) {
        const bool silent = backends->primary_unreachable_for(primary_silence_limit);
        backends->set_path_cut(silent &&
                               !m_paths.peers_reaching(name, 0, now, backends->observation().last_contact_at).empty());
    }
}

/// Closes idle sessions that were relayed to this proxy if this proxy does not reach their primary while other peers
/// do. The relaying proxies can then try those peers.
template <routing::link_connector Connector>
void traffic<Connector>::close_relayed_without_primary() {
    for (auto* item : m_sessions) {
        if (item->relayed && item->status.is_idle && !detour_peers(item->state.database, 0).empty()) {
            item->status.close_if_no_input();
        }
    }
}

} // namespace cornellever::session
