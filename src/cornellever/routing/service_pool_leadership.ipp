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
        if (from.position && is_log_unproven(held, *from.position)) {
            held.connection->close();
            if (!at.retired) {
                at.open_after = boot_clock::now() + search_period;
                drop_primary(at.server.id);
            }
            return;
        }
        held.primed = true;
        held.primed_at = held.sent_at;
        note_leadership(at, held.sent_at, from.position);
    } else if (!from.ok() && from.why() == sql::refusal::not_primary) {
        note_not_primary(at);
        note_position(at, from.position, held.sent_at);
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

/// Whether a primary with an empty log may have lost commits. A proxy that knows of no commit cannot distinguish a new
/// service from one whose primary lost its log, so every other registered server has to report its position first. A
/// position that was requested before this proxy found the log empty does not count, because commits may have followed.
/// No timeout ends the wait: a server that does not respond may hold all commits until it is deregistered, and so may
/// one that has not registered again after an outage of the store.
template <link_connector Connector>
bool service_pool<Connector>::is_log_unproven(const slot& held, const sql::log_position& reported) {
    auto& at = *held.server_entry;
    if (reported.number != 0) {
        forget_empty_log(at);
        return false;
    }
    if (at.retired) {
        return true;
    }
    if (held.opened_at <= at.empty_log_proven_at) {
        at.empty_log_proven_at = std::max(at.empty_log_proven_at, held.sent_at);
        at.promoted_with_empty_log = false;
        return false;
    }
    const auto now = boot_clock::now();
    const auto awaited = unreported_since(at, at.empty_log_since.value_or(now));
    const bool registry_complete = now >= m_registry_complete_at;
    if (at.promoted_with_empty_log || (awaited.empty() && registry_complete)) {
        at.promoted_with_empty_log = false;
        at.empty_log_since.reset();
        at.empty_log_proven_at = now;
        return false;
    }
    if (!at.empty_log_since) {
        at.empty_log_since = now;
        std::string ids;
        for (const auto* item : awaited) {
            ids += (ids.empty() ? "" : ",") + item->server.id;
        }
        log_event(event::primary_lost, "service=" + m_service + " server=" + at.server.id +
                                           " reason=log_unproven position=" + sql::to_string(reported) +
                                           " awaits=" + ids + " registry_complete=" + (registry_complete ? "1" : "0"));
    }
    return true;
}

/// Discards what is known about a server's empty log, because the log has entries or the server is not the primary.
template <link_connector Connector>
void service_pool<Connector>::forget_empty_log(entry& at) {
    at.empty_log_since.reset();
    at.empty_log_proven_at = time_point{};
    at.promoted_with_empty_log = false;
}

/// Waits until the server's empty log is known to have lost no commits since `held` was opened, which a reply on an
/// older connection shows. Gives up if there is no older connection, after which the other servers are asked again.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::renew_empty_log_proof(const slot& held, time_point until) {
    auto& at = *held.server_entry;
    while (at.needs_new_proof(held) && boot_clock::now() < until) {
        slot* idle = nullptr;
        bool any = false;
        for (const auto& item : at.open_connections) {
            const bool older = item->connection->usable() && !at.needs_new_proof(*item);
            any = any || older;
            idle = older && !item->busy ? item.get() : idle;
        }
        if (!any) {
            co_return;
        }
        if (idle == nullptr) {
            co_await sleep_for(proof_poll_period);
            continue;
        }
        idle->busy = true;
        co_await refresh_leadership(*idle);
    }
}

/// Returns the servers other than `primary` that have not reported a position in reply to a request sent after `since`.
template <link_connector Connector>
auto service_pool<Connector>::unreported_since(const entry& primary, time_point since) const
    -> std::vector<const entry*> {
    std::vector<const entry*> out;
    for (const auto& [id, item] : m_entries) {
        if (item.get() != &primary && item->position_asked_at <= since) {
            out.push_back(item.get());
        }
    }
    return out;
}

template <link_connector Connector>
void service_pool<Connector>::note_promoted(const std::string& id) {
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        const auto& applied = found->second->progress.applied();
        found->second->promoted_with_empty_log = applied && applied->number == 0;
    }
}

template <link_connector Connector>
std::optional<std::chrono::milliseconds> service_pool<Connector>::unproven_log_retry_after() const {
    if (!m_primary.empty()) {
        return std::nullopt;
    }
    const auto unproven =
        std::ranges::find_if(m_entries, [](const auto& item) { return item.second->empty_log_since.has_value(); });
    if (unproven == m_entries.end()) {
        return std::nullopt;
    }
    const auto& primary = *unproven->second;
    std::optional<time_point> next_contact;
    if (boot_clock::now() < m_registry_complete_at) {
        next_contact = m_registry_complete_at;
    }
    for (const auto* item : unreported_since(primary, *primary.empty_log_since)) {
        if (item->unreachable()) {
            next_contact = std::max(next_contact.value_or(time_point{}), item->open_after);
        }
    }
    if (!next_contact) {
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(*next_contact - boot_clock::now());
    return std::max(wait, search_period);
}

template <link_connector Connector>
std::optional<std::chrono::milliseconds> service_pool<Connector>::no_successor_retry_after() const {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_no_successor_until - boot_clock::now());
    return wait <= std::chrono::milliseconds{0} || primary_reachable() ? std::nullopt : std::optional{wait};
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
void service_pool<Connector>::note_position(entry& from, const std::optional<sql::log_position>& position,
                                            time_point asked_at) {
    if (position && from.server.id != m_primary) {
        from.progress.note(*position, boot_clock::now(), m_read_floor);
        from.position_asked_at = std::max(from.position_asked_at, asked_at);
    }
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
    forget_empty_log(from);
    if (m_primary == from.server.id) {
        from.refusal_backoff.note_refusal(boot_clock::now());
        log_event(event::primary_lost, "service=" + m_service + " server=" + m_primary + " reason=refused_lead");
        drop_primary(from.server.id);
    }
    roll_back_primed(from);
}

/// Rolls back the transactions that were opened ahead of use on a server that is no longer the primary. The server
/// refuses every read in them, although it may serve the same read as a replica.
template <link_connector Connector>
void service_pool<Connector>::roll_back_primed(entry& at) {
    std::vector<slot*> primed;
    for (const auto& item : at.open_connections) {
        if (!item->busy && std::exchange(item->primed, false)) {
            item->busy = true;
            primed.push_back(item.get());
        }
    }
    for (auto* item : primed) {
        if (!item->connection->post({sql::proxy_command(sql::statement_kind::rollback)})) {
            item->connection->close();
        }
        check_in(*item);
    }
}

/// Adds a freshness sample that this proxy requested from the primary itself.
template <link_connector Connector>
void service_pool<Connector>::add_own_sample(const entry& from, const freshness_sample& sample) {
    // A position below an earlier one of the same server comes from a delayed reply, not from a promotion.
    const auto highest = m_high_water_mark.highest_position_of(from.server.id);
    if (!highest || *highest <= sample.position) {
        m_read_floor.add_after_promotion(sample);
    } else {
        m_read_floor.add(sample);
    }
}

/// Records a leadership confirmation requested at `asked_at`.
template <link_connector Connector>
void service_pool<Connector>::note_leadership(entry& from, time_point asked_at,
                                              const std::optional<sql::log_position>& position) {
    if (position) {
        add_own_sample(from, {asked_at, *position});
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
    if (!at.empty_log_since && at.refusal_backoff.accepts_confirmation(leadership_confirmed_at)) {
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
    for (const auto& [other_id, item] : m_entries) {
        if (item.get() != &from) {
            forget_empty_log(*item);
        }
    }
    const auto before = m_entries.find(m_primary);
    m_primary = id;
    m_log_lost_server.clear();
    if (before != m_entries.end()) {
        roll_back_primed(*before->second);
    }
    prime_idle(from);
}

} // namespace cornellever::routing
