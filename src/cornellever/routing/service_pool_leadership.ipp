#pragma once

// How the pool decides which server is the primary, from the servers' replies and from reports of peers.

namespace cornellever::routing {

/// Evaluates the last reply on a connection. An open read-write transaction confirms that the server is the primary,
/// and the connection is marked as primed.
template <link_connector Connector>
void service_pool<Connector>::evaluate_leadership(slot& held, const sql::reply& from) {
    auto& at = *held.server_entry;
    if (from.ok() && from.state == sql::transaction_state::open) {
        if (from.position && lacks_commits(at, *from.position, held.sent_at)) {
            held.connection->close();
            note_log_lost(at, *from.position);
            return;
        }
        if (from.position && needs_other_logs(at, *from.position)) {
            held.connection->close();
            at.open_after = boot_clock::now() + search_period;
            drop_primary(at.server.id);
            return;
        }
        held.primed = true;
        held.primed_at = held.sent_at;
        note_leadership(at, held.sent_at, from.position);
    } else if (!from.ok() && from.why() == sql::refusal::not_primary) {
        note_not_primary(at);
        note_position(at, from.position);
    }
}

/// Whether a primary has lost commits, judged by the position `reported` in its reply to a request sent at `asked_at`.
/// Commits are lost if the position is lower than before, or if the log is empty while another server holds entries.
/// The second case includes an empty server that was promoted instead of a server with entries. The empty server is
/// rejected too, because no commits are lost if the other server becomes the primary.
template <link_connector Connector>
bool service_pool<Connector>::lacks_commits(const entry& at, const sql::log_position& reported,
                                            time_point asked_at) const {
    if (m_high_water_mark.is_truncated(at.server.id, reported, asked_at)) {
        return true;
    }
    return reported.number == 0 && std::ranges::any_of(m_entries, [&](const auto& item) {
               const auto& progress = item.second->progress;
               return item.second.get() != &at && progress.applied() && progress.applied()->number > 0 &&
                      progress.seen_at() < asked_at;
           });
}

/// Whether a primary with an empty log must wait until the other servers have reported their positions. If this proxy
/// knows of no commit, it cannot distinguish a new service from one whose primary lost its log.
template <link_connector Connector>
bool service_pool<Connector>::needs_other_logs(entry& at, const sql::log_position& reported) const {
    const bool other_unknown = std::ranges::any_of(m_entries, [&](const auto& item) {
        return item.second.get() != &at && item.second->progress.seen_at() == time_point{};
    });
    if (reported.number != 0 || at.retired || !other_unknown) {
        at.empty_log_since.reset();
        return false;
    }
    const auto now = boot_clock::now();
    if (!at.empty_log_since) {
        at.empty_log_since = now;
        log_event(event::primary_lost, "service=" + m_service + " server=" + at.server.id +
                                           " reason=log_unproven position=" + sql::to_string(reported));
    }
    return at.awaits_other_logs(now);
}

/// Disregards the leadership of a server that lost commits, so that a server that has the commits is promoted. New
/// connections to the server that lost commits are attempted with the longest backoff.
template <link_connector Connector>
void service_pool<Connector>::note_log_lost(entry& at, const sql::log_position& reported) {
    const auto now = boot_clock::now();
    at.leadership_valid_after = now;
    at.open_after = now + max_backoff;
    if (m_log_lost_server != at.server.id) {
        const auto highest_position = m_high_water_mark.highest_position_of(at.server.id);
        log_event(event::primary_lost, "service=" + m_service + " server=" + at.server.id +
                                           " reason=log_lost position=" + sql::to_string(reported) + " furthest=" +
                                           (highest_position ? sql::to_string(*highest_position) : "held_by_others"));
    }
    m_log_lost_server = at.server.id;
    drop_primary(at.server.id);
}

template <link_connector Connector>
void service_pool<Connector>::drop_primary(const std::string& id) {
    if (m_primary == id) {
        m_primary.clear();
        start_primary_search();
    }
}

template <link_connector Connector>
void service_pool<Connector>::note_not_primary(entry& from) {
    if (m_primary == from.server.id) {
        from.refusal_backoff.note_refusal(boot_clock::now());
        log_event(event::primary_lost, "service=" + m_service + " server=" + m_primary + " reason=refused_lead");
        drop_primary(from.server.id);
    }
}

/// Records a leadership confirmation requested at `asked_at`.
template <link_connector Connector>
void service_pool<Connector>::note_leadership(entry& from, time_point asked_at,
                                              const std::optional<sql::log_position>& position) {
    if (position) {
        m_read_floor.add({asked_at, *position});
    }
    if (from.retired || !from.refusal_backoff.accepts_confirmation(asked_at)) {
        return;
    }
    adopt_primary(from, asked_at);
    if (position) {
        m_high_water_mark.note(from.server.id, *position, boot_clock::now());
    }
}

template <link_connector Connector>
void service_pool<Connector>::note_commit(entry& from, time_point sent_at,
                                          const std::optional<sql::log_position>& position) {
    if (position && lacks_commits(from, *position, sent_at)) {
        note_log_lost(from, *position);
        return;
    }
    from.refusal_backoff.clear();
    note_leadership(from, sent_at, position);
    if (position) {
        m_read_floor.note_commit(*position);
    }
}

template <link_connector Connector>
void service_pool<Connector>::accept_peer_confirmation(const std::string& id, time_point leadership_confirmed_at) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || id == m_log_lost_server) {
        return;
    }
    auto& at = *found->second;
    if (!at.awaits_other_logs(boot_clock::now()) && at.refusal_backoff.accepts_confirmation(leadership_confirmed_at)) {
        adopt_primary(at, leadership_confirmed_at);
    }
}

template <link_connector Connector>
void service_pool<Connector>::adopt_primary(entry& from, time_point leadership_confirmed_at) {
    if (leadership_confirmed_at <= m_leadership_confirmed_at ||
        leadership_confirmed_at <= from.leadership_valid_after) {
        return;
    }
    const auto& id = from.server.id;
    m_leadership_confirmed_at = leadership_confirmed_at;
    m_high_water_mark.set_primary(id);
    if (m_primary == id) {
        return;
    }
    log_event(event::primary_found, "service=" + m_service + " server=" + id + " before=" + m_primary);
    m_primary = id;
    m_log_lost_server.clear();
    prime_idle(from);
}

} // namespace cornellever::routing
