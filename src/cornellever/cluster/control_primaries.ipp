#pragma once

// Judging and replacing the primaries of services.

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
const service_sight* control<Store, Orders, Connector>::sight_of(const std::string& service) const {
    const auto found = m_sights.find(service);
    return found == m_sights.end() ? nullptr : &found->second;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
auto control<Store, Orders, Connector>::reports_heard() const -> reports_by_service {
    const auto now = boot_clock::now();
    reports_by_service out;
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_alive(item, now)) {
            continue;
        }
        for (const auto& report : item.primaries) {
            out[report.service].push_back({&report, item.reported_at});
        }
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
primary_verdict control<Store, Orders, Connector>::verdict_on(const watch& at, const service_sight* seen,
                                                              std::span<const heard_report> heard,
                                                              std::vector<primary_view>& views) const {
    const auto now = boot_clock::now();
    const auto age = [now](time_point then) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    };
    primary_evidence evidence;
    const auto& servers = m_registry.effective().servers;
    const auto entry = servers.find(at.primary);
    evidence.entry.draining = entry != servers.end() && entry->second.draining;
    if (m_store_reachable()) {
        evidence.entry.missing_for = m_registry.missing_for(at.primary, now);
    }
    if (seen != nullptr && seen->primary.id == at.primary) {
        const auto& observation = seen->primary;
        evidence.own = primary_view{age(observation.last_contact_at), observation.unreachable, observation.refused,
                                    observation.log_lost};
    }
    for (const auto& [report, counted_from] : heard) {
        if (report->primary == at.primary) {
            views.push_back(
                {report->heard_age + age(counted_from), report->unreachable, report->refused, report->log_lost});
        }
    }
    evidence.peers = views;
    evidence.known_peers = m_members.peers().size();
    return judge(evidence);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::chrono::milliseconds control<Store, Orders, Connector>::turn_delay(const std::string& service) const {
    if (!m_store_reachable()) {
        return turn_step * (longest_turn + 2);
    }
    // Those that use the service judge its primary, each in its turn.
    std::ptrdiff_t place = 0;
    for (const auto& name : m_members.able(boot_clock::now())) {
        const auto found = m_members.peers().find(name);
        if (name >= m_settings.name || found == m_members.peers().end()) {
            continue;
        }
        place += std::ranges::any_of(found->second.primaries,
                                     [&](const primary_report& item) { return item.service == service; })
                     ? 1
                     : 0;
    }
    return turn_step * std::min<std::ptrdiff_t>(place, longest_turn);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::look_after_primaries() {
    const auto heard = reports_heard();
    for (const auto& [service, servers] : m_registry.by_service()) {
        if (const auto at = m_watched.find(service); at != m_watched.end()) {
            const auto reports = heard.find(service);
            look_after(service, servers, at->second,
                       reports == heard.end() ? std::span<const heard_report>{} : reports->second);
        }
    }
}

/// Decides whether a service's primary is to be replaced, and whether by this
/// proxy now.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::look_after(const std::string& service,
                                                   std::span<const routing::backend_server* const> servers, watch& at,
                                                   std::span<const heard_report> heard) {
    const auto now = boot_clock::now();
    if (at.replacing || now < at.not_before) {
        return;
    }
    std::string registered;
    for (const auto* server : servers) {
        if (server->role == routing::server_role::primary && !m_registry.missing_for(server->id, now)) {
            registered = server->id;
        }
    }
    const auto* seen = sight_of(service);
    const bool sees_primary = seen != nullptr && !seen->primary.id.empty();
    if (sees_primary) {
        at.primary = seen->primary.id;
    } else if (!registered.empty()) {
        at.primary = registered;
    }
    const bool leaderless = registered.empty() && !sees_primary;
    if (!leaderless) {
        at.leaderless_since = now;
    }
    std::vector<primary_view> views;
    auto verdict = verdict_on(at, seen, heard, views);
    if (verdict == primary_verdict::fine && now - at.leaderless_since > leaderless_for) {
        verdict = primary_verdict::lost;
    }
    if (verdict != at.verdict) {
        at.verdict = verdict;
        at.judged_since = now;
        log_event(
            event::primary_judged,
            "service=" + service + " primary=" + at.primary + " verdict=" + std::string{to_string(verdict)} +
                " peers=" + std::to_string(views.size()) +
                (seen != nullptr && seen->primary.log_lost ? " log_lost=1" : "") +
                (seen != nullptr ? " heard_ms=" + std::to_string(to_ms(now - seen->primary.last_contact_at)) : ""));
    }
    if (verdict == primary_verdict::fine || now - at.judged_since < turn_delay(service)) {
        return;
    }
    at.replacing = true;
    asio::co_spawn(m_executor, replace(service, at.primary, verdict), asio::detached);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::replace(std::string service, std::string old,
                                                                 primary_verdict why) {
    log_event(event::failover_started, "service=" + service + " old=" + old);
    const auto judged_for = boot_clock::now() - m_watched[service].judged_since;
    const auto ended = co_await m_promotion.run(service, old, why, judged_for);
    const bool done = ended.state == "done";
    ++(done ? m_counts.promoted : m_counts.given_up);
    log_event(done ? event::failover_done : event::failover_given_up,
              "service=" + service + " old=" + old + " successor=" + ended.successor + " event=" + ended.event);
    auto& at = m_watched[service];
    at.replacing = false;
    at.not_before = boot_clock::now() + (ended.event == "held_by_other" ? others_turn
                                         : ended.event == "all_leave"   ? successor_wait
                                                                        : retry_pause);
    at.leaderless_since = boot_clock::now();
}

} // namespace cornellever::cluster
