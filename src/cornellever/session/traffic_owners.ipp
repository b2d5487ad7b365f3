#pragma once

// The choice of the connection owner (a proxy that holds connections to a service's servers) for a relayed session.

namespace cornellever::session {

/// Whether a peer has refused or lost a session within the last `peer_backoff`.
template <routing::link_connector Connector>
bool traffic<Connector>::failed_recently(std::string_view peer, boot_clock::time_point now) const {
    const auto found = m_peer_failures.find(peer);
    return found != m_peer_failures.end() && now - found->second <= peer_backoff;
}

/// Whether the session's next operation should not be executed at the peer where the session is open, because that peer
/// is no longer an owner or because another owner is expected to serve the session sooner.
template <routing::link_connector Connector>
bool traffic<Connector>::leaves_owner(active_session& active) {
    const auto route = m_config.routes.find(active.state.database);
    if (active.site != execution_site::connection_owner || !active.at_peer.open() || route == m_config.routes.end()) {
        return false;
    }
    const auto& service = route->second.service;
    const auto& peer = active.at_peer.peer_name;
    const auto now = boot_clock::now();
    const auto reachable = [&](const proxy_node& item) { return !failed_recently(item.name, now); };
    if (should_return(ownership_of(service), peer, reachable)) {
        log_event(event::session_relayed, "session=" + std::to_string(active.state.id) +
                                              " database=" + printable_word(active.state.database) +
                                              " reason=owner_changed peer=" + peer);
        return true;
    }
    const auto load = m_owner_choice.load_of(service, peer);
    if (!load || load->expected_wait.count() == 0) {
        return false;
    }
    const auto order = owners_in_order(active, service);
    const auto* better = find_better_owner(active, route->second, order, peer);
    if (better != nullptr) {
        active.at_peer.preferred_owner = better->name;
    }
    return better != nullptr;
}

/// Returns the owners of a service in the order in which the session tries them. Those that failed recently come last.
template <routing::link_connector Connector>
std::vector<proxy_node> traffic<Connector>::owners_in_order(const active_session& active, const std::string& service) {
    auto out = relay_order(ownership_of(service), m_data_center, spreading_key(active));
    const auto now = boot_clock::now();
    std::ranges::stable_partition(out, [&](const proxy_node& item) { return !failed_recently(item.name, now); });
    return out;
}

/// Returns the owner to which the session should move from `current` because of the owners' loads, and counts the move.
/// Returns null if the session should stay.
template <routing::link_connector Connector>
const proxy_node* traffic<Connector>::find_better_owner(const active_session& active,
                                                        const routing::database_route& route,
                                                        std::span<const proxy_node> order, const std::string& current) {
    const auto now = boot_clock::now();
    const auto* better = m_owner_choice.better_owner(route.service, order, current, route.target_latency, now);
    if (better == nullptr || failed_recently(better->name, now) ||
        !m_owner_choice.take_move(route.service, current, [&] { return sessions_at(route.service, current); })) {
        return nullptr;
    }
    const auto wait_at = [&](const std::string& owner) {
        return std::to_string(
            m_owner_choice.load_of(route.service, owner).value_or(owner_load{}).expected_wait.count());
    };
    log_event(event::session_relayed,
              "session=" + std::to_string(active.state.id) + " database=" + printable_word(active.state.database) +
                  " reason=owner_wait peer=" + current + " wait_ms=" + wait_at(current) + " to=" + better->name +
                  " to_wait_ms=" + wait_at(better->name) + " aim_ms=" + std::to_string(route.target_latency.count()));
    return better;
}

/// Returns how many sessions of a service this proxy relays to a peer.
template <routing::link_connector Connector>
std::size_t traffic<Connector>::sessions_at(const std::string& service, std::string_view peer) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_sessions, [&](const auto* item) {
        const auto route = m_config.routes.find(item->state.database);
        return item->at_peer.open() && item->at_peer.peer_name == peer && route != m_config.routes.end() &&
               route->second.service == service;
    }));
}

/// Records how long an owner took for a statement, from which this proxy learns when to compare the owners' loads.
template <routing::link_connector Connector>
void traffic<Connector>::note_relayed(const active_session& active, const sql::reply& reply,
                                      boot_clock::time_point sent_at) {
    const auto route = m_config.routes.find(active.state.database);
    if (active.site != execution_site::connection_owner || route == m_config.routes.end()) {
        return;
    }
    const bool refused = reply.error && reply.error->why == sql::refusal::overloaded;
    const auto now = boot_clock::now();
    m_owner_choice.record_statement(route->second.service, now - sent_at, refused, route->second.target_latency, now);
}

} // namespace cornellever::session
