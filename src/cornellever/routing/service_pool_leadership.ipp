#pragma once

// Which server leads, by its own answers and by the word of other proxies.

namespace cornellever::routing {

/// Takes from the last answer on a connection whether its server leads: one
/// that opened a plain transaction does, and the connection is armed.
template <link_connector Connector>
void service_pool<Connector>::learn_lead(slot& held, const sql::reply& from) {
    auto& at = *held.server_entry;
    if (from.ok() && from.state == sql::transaction_state::open) {
        if (from.position && lacks_log(at, *from.position, held.sent_at)) {
            held.connection->close();
            note_log_lost(at, *from.position);
            return;
        }
        if (from.position && needs_witness(at, *from.position)) {
            held.connection->close();
            at.open_after = boot_clock::now() + seek_period;
            drop_lead(at.server.id);
            return;
        }
        held.primed = true;
        held.armed_at = held.sent_at;
        note_primary(at, held.sent_at, from.position);
    } else if (!from.ok() && from.why() == sql::refusal::not_primary) {
        note_not_primary(at);
        note_position(at, from.position);
    }
}

/// Whether a server that leads, asked at `asked_at`, lacks commits that it had:
/// it named less than before, or it is empty while another server holds entries.
/// An empty log that was promoted over those is no better: with the other one
/// leading, nothing is lost.
template <link_connector Connector>
bool service_pool<Connector>::lacks_log(const entry& at, const sql::log_position& named, time_point asked_at) const {
    if (m_leader_log.is_truncated(at.server.id, named, asked_at)) {
        return true;
    }
    return named.number == 0 && std::ranges::any_of(m_entries, [&](const auto& item) {
               const auto& progress = item.second->progress;
               return item.second.get() != &at && progress.applied() && progress.applied()->number > 0 &&
                      progress.seen_at() < asked_at;
           });
}

/// Whether an empty log still needs the word of another server: this proxy knows
/// of no commit, and a new service looks the same as one that lost its log.
template <link_connector Connector>
bool service_pool<Connector>::needs_witness(entry& at, const sql::log_position& named) const {
    const bool unheard = std::ranges::any_of(m_entries, [&](const auto& item) {
        return item.second.get() != &at && item.second->progress.seen_at() == time_point{};
    });
    if (named.number != 0 || at.gone || !unheard) {
        at.empty_since.reset();
        return false;
    }
    const auto now = boot_clock::now();
    if (!at.empty_since) {
        at.empty_since = now;
        log_event(event::primary_lost, "service=" + m_service + " server=" + at.server.id +
                                           " reason=log_unproven position=" + sql::to_string(named));
    }
    return at.awaits_witness(now);
}

/// Its lead counts for nothing: another server that has the commits is to be
/// promoted. It is asked again only now and then.
template <link_connector Connector>
void service_pool<Connector>::note_log_lost(entry& at, const sql::log_position& named) {
    const auto now = boot_clock::now();
    at.since = now;
    at.open_after = now + longest_backoff;
    if (m_without_log != at.server.id) {
        const auto highest_position = m_leader_log.highest_position_of(at.server.id);
        log_event(event::primary_lost, "service=" + m_service + " server=" + at.server.id +
                                           " reason=log_lost position=" + sql::to_string(named) + " furthest=" +
                                           (highest_position ? sql::to_string(*highest_position) : "held_by_others"));
    }
    m_without_log = at.server.id;
    drop_lead(at.server.id);
}

template <link_connector Connector>
void service_pool<Connector>::drop_lead(const std::string& id) {
    if (m_primary == id) {
        m_primary.clear();
        seek();
    }
}

template <link_connector Connector>
void service_pool<Connector>::note_not_primary(entry& from) {
    if (m_primary == from.server.id) {
        from.doubt.note_refusal(boot_clock::now());
        log_event(event::primary_lost, "service=" + m_service + " server=" + m_primary + " reason=refused_lead");
        drop_lead(from.server.id);
    }
}

/// A server proved its lead after `asked_at`.
template <link_connector Connector>
void service_pool<Connector>::note_primary(entry& from, time_point asked_at,
                                           const std::optional<sql::log_position>& position) {
    if (position) {
        m_floor.add({asked_at, *position});
    }
    if (from.gone || !from.doubt.accepts_confirmation(asked_at)) {
        return;
    }
    take_lead(from, asked_at);
    if (position) {
        m_leader_log.note(from.server.id, *position, boot_clock::now());
    }
}

template <link_connector Connector>
void service_pool<Connector>::note_commit(entry& from, time_point sent_at,
                                          const std::optional<sql::log_position>& position) {
    if (position && lacks_log(from, *position, sent_at)) {
        note_log_lost(from, *position);
        return;
    }
    from.doubt.clear();
    note_primary(from, sent_at, position);
    if (position) {
        m_floor.note_commit(*position);
    }
}

template <link_connector Connector>
void service_pool<Connector>::accept_peer_confirmation(const std::string& id, time_point leadership_confirmed_at) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || id == m_without_log) {
        return;
    }
    auto& at = *found->second;
    if (!at.awaits_witness(boot_clock::now()) && at.doubt.accepts_confirmation(leadership_confirmed_at)) {
        take_lead(at, leadership_confirmed_at);
    }
}

template <link_connector Connector>
void service_pool<Connector>::take_lead(entry& from, time_point leadership_confirmed_at) {
    if (leadership_confirmed_at <= m_primary_at || leadership_confirmed_at <= from.since) {
        return;
    }
    const auto& id = from.server.id;
    m_primary_at = leadership_confirmed_at;
    m_leader_log.set_primary(id);
    if (m_primary == id) {
        return;
    }
    log_event(event::primary_found, "service=" + m_service + " server=" + id + " before=" + m_primary);
    m_primary = id;
    m_without_log.clear();
    arm_idle(from);
}

} // namespace cornellever::routing
