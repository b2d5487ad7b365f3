#pragma once

// Judging and replacing the primaries of services.

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
primary_verdict control<Store, Orders, Connector>::verdict_on(const std::string& service, watch& at,
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
    if (at.seen && at.seen->primary.id == at.primary) {
        const auto& sight = at.seen->primary;
        evidence.own = primary_view{age(sight.heard_at), sight.unreachable, sight.refused, sight.log_lost};
    }
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_alive(item, now)) {
            continue;
        }
        for (const auto& report : item.primaries) {
            if (report.service == service && report.primary == at.primary) {
                views.push_back(
                    {report.heard_age + age(item.reported_at), report.unreachable, report.refused, report.log_lost});
            }
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

/// Decides whether a service's primary is to be replaced, and whether by this
/// proxy now.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::look_after(const std::string& service, watch& at) {
    const auto now = boot_clock::now();
    const auto& servers = m_registry.effective().servers;
    if (at.replacing || servers.empty() || now < at.not_before) {
        return;
    }
    std::string registered;
    bool any = false;
    for (const auto& [id, server] : servers) {
        any = any || server.service == service;
        if (server.service == service && server.role == routing::server_role::primary &&
            !m_registry.missing_for(id, now)) {
            registered = id;
        }
    }
    if (!any) {
        return;
    }
    if (at.seen && !at.seen->primary.id.empty()) {
        at.primary = at.seen->primary.id;
    } else if (!registered.empty()) {
        at.primary = registered;
    }
    const bool leaderless = registered.empty() && (!at.seen || at.seen->primary.id.empty());
    if (!leaderless) {
        at.leaderless_since = now;
    }
    std::vector<primary_view> views;
    auto verdict = verdict_on(service, at, views);
    if (verdict == primary_verdict::fine && now - at.leaderless_since > leaderless_for) {
        verdict = primary_verdict::lost;
    }
    if (verdict != at.verdict) {
        at.verdict = verdict;
        at.judged_since = now;
        log_event(event::primary_judged,
                  "service=" + service + " primary=" + at.primary + " verdict=" + std::string{to_string(verdict)} +
                      " peers=" + std::to_string(views.size()) +
                      (at.seen && at.seen->primary.log_lost ? " log_lost=1" : "") +
                      (at.seen ? " heard_ms=" + std::to_string(to_ms(now - at.seen->primary.heard_at)) : ""));
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
