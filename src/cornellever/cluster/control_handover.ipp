#pragma once

// Planned handover of primaries whose replicas are far behind.

namespace cornellever::cluster {

/// Whether any database of a service lets replicas serve reads.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::replicas_serve_reads(const std::string& service) const {
    return std::ranges::any_of(m_config.routes, [&](const auto& item) {
        return item.second.service == service && item.second.reads != routing::consistency::primary;
    });
}

/// Judges a primary that the failure detector finds fine, and starts its handover if that is due.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::check_handover(const std::string& service, service_state& state,
                                                       const service_observation& own,
                                                       std::span<const peer_report> peer_reports) {
    const auto now = boot_clock::now();
    const auto& owners = ownership_of(service);
    std::vector<handover_view> views{state.handover.view_of(own.primary)};
    views.front().is_owner = owners.owns(m_settings.name);
    for (const auto& [report, peer, ages_as_of] : peer_reports) {
        if (report->primary == state.primary && now - ages_as_of <= max_report_age) {
            views.push_back(
                {report->waiting, report->shortest_lag, report->catching_up, report->statements, owners.owns(peer)});
        }
    }
    const auto& servers = m_registry.effective().servers;
    const auto entry = servers.find(state.primary);
    handover_evidence evidence{.enabled = m_settings.planned_handover,
                               .primary_known_for = state.handover.primary_known_for(now),
                               .owners = owners.owners.size(),
                               .views = views};
    evidence.slots = entry == servers.end() ? 1 : entry->second.slots;
    // The routes are searched only while requests wait.
    const bool demand = std::ranges::any_of(views, [](const auto& view) { return view.waiting > 0; });
    evidence.replicas_serve_reads = demand && replicas_serve_reads(service);
    const auto judged = judge_handover(evidence);
    const bool changed = state.handover.record(judged, now);
    const bool due = state.handover.is_due(now, {}) && state.handover.is_due(now, promotion_delay(service));
    if (changed || due) {
        log_event(event::handover_judged,
                  "service=" + service + " primary=" + state.primary + " waiting=" + std::to_string(judged.waiting) +
                      " lag_ms=" + (judged.shortest_lag ? std::to_string(judged.shortest_lag->count()) : "-") +
                      " failing=" + std::to_string(judged.failing) + " owners=" + std::to_string(evidence.owners) +
                      " peers=" + std::to_string(views.size() - 1) +
                      " reason=" + std::string{to_string(judged.reason)} + " due=" + (due ? "1" : "0"));
    }
    if (due) {
        state.replacing = true;
        asio::co_spawn(m_executor, hand_over(service, state.primary), asio::detached);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::hand_over(std::string service, std::string old) {
    const auto ended = co_await m_handover.run(service, old);
    const bool done = ended.state == "done";
    ++(done ? m_counts.handed_over : m_counts.handovers_given_up);
    log_event(done ? event::handover_done : event::handover_given_up,
              "service=" + service + " old=" + old + " successor=" + ended.successor + " event=" + ended.event);
    const auto now = boot_clock::now();
    auto& state = m_services[service];
    state.replacing = false;
    state.handover.note_attempt(now);
    state.leaderless_since = now;
}

} // namespace cornellever::cluster
