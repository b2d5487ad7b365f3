#pragma once

// Failure detection for the services' primaries, and their replacement.

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
const service_observation* control<Store, Orders, Connector>::observation_of(const std::string& service) const {
    const auto found = m_observations.find(service);
    return found == m_observations.end() ? nullptr : &found->second;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
auto control<Store, Orders, Connector>::reports_from_peers() const -> reports_by_service {
    const auto now = boot_clock::now();
    reports_by_service out;
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_alive(item, now)) {
            continue;
        }
        for (const auto& report : item.primaries) {
            out[report.service].push_back({&report, name, item.reported_at});
        }
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
primary_verdict control<Store, Orders, Connector>::verdict_for(const service_state& state,
                                                               const service_observation* own_observation,
                                                               std::span<const peer_report> peer_reports,
                                                               std::vector<primary_view>& views) const {
    const auto now = boot_clock::now();
    const auto age = [now](time_point then) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    };
    primary_evidence evidence;
    const auto& servers = m_registry.effective().servers;
    const auto entry = servers.find(state.primary);
    evidence.entry.draining = entry != servers.end() && entry->second.draining;
    if (m_store_reachable()) {
        evidence.entry.missing_for = m_registry.missing_for(state.primary, now);
    }
    if (own_observation != nullptr && own_observation->primary.id == state.primary) {
        const auto& observed = own_observation->primary;
        evidence.own =
            primary_view{age(observed.last_contact_at), observed.unreachable, observed.refused, observed.log_lost};
    }
    for (const auto& [report, peer, ages_as_of] : peer_reports) {
        if (report->primary == state.primary) {
            views.push_back(
                {report->last_answer_age + age(ages_as_of), report->unreachable, report->refused, report->log_lost});
        }
    }
    evidence.peers = views;
    evidence.known_peers = m_members.peers().size();
    return judge(evidence);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::chrono::milliseconds control<Store, Orders, Connector>::promotion_delay(const std::string& service) {
    if (!m_store_reachable()) {
        return promotion_delay_step * (max_promotion_delay_steps + 2);
    }
    if (m_promotion.actions().claimed_last(service)) {
        return std::chrono::milliseconds{0};
    }
    // This proxy waits one step for each proxy that uses the service and whose name sorts before
    // its own. A proxy that does not use the service also waits for the owners ranked before it.
    std::ptrdiff_t position = 0;
    if (observation_of(service) == nullptr) {
        const auto& owners = ownership_of(service).owners;
        const auto self = std::ranges::find(owners, m_settings.name, &session::proxy_node::name);
        position = self == owners.end() ? 0 : std::distance(owners.begin(), self);
    }
    for (const auto& name : m_members.eligible(boot_clock::now())) {
        const auto found = m_members.peers().find(name);
        if (name >= m_settings.name || found == m_members.peers().end()) {
            continue;
        }
        position += std::ranges::any_of(found->second.primaries,
                                        [&](const primary_report& item) { return item.service == service; })
                        ? 1
                        : 0;
    }
    return promotion_delay_step * std::min<std::ptrdiff_t>(position, max_promotion_delay_steps);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::seems_alive(std::string_view name) const {
    const auto found = m_members.peers().find(name);
    return found == m_members.peers().end() ? !m_peers_loaded
                                            : membership::is_presumed_alive(found->second, boot_clock::now());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::check_primaries() {
    const auto peer_reports = reports_from_peers();
    const auto stands_by = [this](const std::string& service) {
        return m_config.services.contains(service) && ownership_of(service).owns(m_settings.name);
    };
    for (const auto name : judged_services(m_observations, m_registry.unsettled_services(), stands_by)) {
        const auto servers = m_registry.by_service().find(name);
        if (servers == m_registry.by_service().end()) {
            continue;
        }
        const auto& service = servers->first;
        const auto reports = peer_reports.find(service);
        check_primary(service, servers->second, m_services[service],
                      reports == peer_reports.end() ? std::span<const peer_report>{} : reports->second);
    }
}

/// Takes the primary from the registry. If the only entry that names a primary is missing, that
/// server is still the primary to replace: this proxy may not have judged the service before.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::update_registered_primary(
    std::span<const routing::backend_server* const> servers, service_state& state) const {
    const auto now = boot_clock::now();
    std::string registered;
    std::string missing;
    for (const auto* server : servers) {
        if (server->role != routing::server_role::primary) {
            continue;
        }
        if (!m_registry.missing_for(server->id, now)) {
            registered = server->id;
        } else if (missing.empty() || server->id == state.primary) {
            missing = server->id;
        }
    }
    if (!registered.empty()) {
        state.primary = registered;
    } else if (!missing.empty()) {
        state.primary = missing;
    }
}

/// Decides whether a service's primary has to be replaced, and whether this proxy starts the
/// replacement now.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::check_primary(const std::string& service,
                                                      std::span<const routing::backend_server* const> servers,
                                                      service_state& state, std::span<const peer_report> peer_reports) {
    const auto now = boot_clock::now();
    if (state.replacing || now < state.retry_at) {
        return;
    }
    const auto* own_observation = observation_of(service);
    const bool observes_primary = own_observation != nullptr && !own_observation->primary.id.empty();
    if (observes_primary) {
        state.primary = own_observation->primary.id;
        state.leaderless_since = now;
    } else {
        update_registered_primary(servers, state);
    }
    std::vector<primary_view> views;
    auto verdict = verdict_for(state, own_observation, peer_reports, views);
    const auto leaderless_since = m_registry.leaderless_since(service);
    if (verdict == primary_verdict::fine && !observes_primary && leaderless_since &&
        now - std::max(*leaderless_since, state.leaderless_since) > leaderless_timeout) {
        verdict = primary_verdict::lost;
    }
    if (verdict != state.verdict) {
        state.verdict = verdict;
        state.judged_since = now;
        log_event(event::primary_judged,
                  "service=" + service + " primary=" + state.primary + " verdict=" + std::string{to_string(verdict)} +
                      " peers=" + std::to_string(views.size()) +
                      (own_observation != nullptr && own_observation->primary.log_lost ? " log_lost=1" : "") +
                      (own_observation != nullptr
                           ? " heard_ms=" + std::to_string(to_ms(now - own_observation->primary.last_contact_at))
                           : ""));
    }
    if (verdict == primary_verdict::fine) {
        if (observes_primary) {
            check_handover(service, state, *own_observation, peer_reports);
        }
        return;
    }
    if (now - state.judged_since < promotion_delay(service)) {
        return;
    }
    state.replacing = true;
    asio::co_spawn(m_executor, replace(service, state.primary, verdict), asio::detached);
}

/// Returns the delay before the next attempt. A claim of another proxy is checked again at the
/// latest after `other_claim_pause`, because that proxy may complete its promotion or die.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::chrono::milliseconds control<Store, Orders, Connector>::retry_delay(const promotion_outcome& ended) {
    if (ended.blocked_for > std::chrono::milliseconds{0}) {
        return std::clamp(ended.blocked_for, min_retry_pause, other_claim_pause);
    }
    if (ended.event == "held_by_other") {
        return other_claim_pause;
    }
    const bool none_suitable = ended.event == "all_leave" || ended.event == "no_successor" || ended.event == "not_near";
    return none_suitable ? successor_wait : retry_pause;
}

/// Replaces a primary. The primary of a service with synchronous replicas acknowledges commits until
/// its successor leads. The successor might not have received these, so a primary that is leaving is
/// fenced first.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::replace(std::string service, std::string old,
                                                                 primary_verdict why) {
    log_event(event::failover_started, "service=" + service + " old=" + old);
    const auto limits = m_config.services.find(service);
    const int synchronous_replicas = limits == m_config.services.end() ? 0 : limits->second.synchronous_replicas;
    promotion_outcome ended;
    const bool fence_first = synchronous_replicas > 0 && why == primary_verdict::leaving;
    if (fence_first) {
        ended = co_await m_handover.run(service, old, &check_promotion);
    }
    // A proxy that has failed may have fenced the primary and promoted none.
    if (!fence_first || ended.event == "replaced") {
        ended = co_await m_promotion.run(service, old, why, synchronous_replicas);
    }
    if (ended.event == "commits_unproven") {
        m_bridge.note_no_successor(service, boot_clock::now() + no_successor_period);
    }
    const bool done = ended.state == "done";
    ++(done ? m_counts.promoted : m_counts.given_up);
    log_event(done ? event::failover_done : event::failover_given_up,
              "service=" + service + " old=" + old + " successor=" + ended.successor + " event=" + ended.event);
    auto& state = m_services[service];
    state.replacing = false;
    state.retry_at = boot_clock::now() + retry_delay(ended);
    state.leaderless_since = boot_clock::now();
}

} // namespace cornellever::cluster
