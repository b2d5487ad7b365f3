#pragma once

// Requests for leadership confirmations and log positions, and the search for the primary.

namespace cornellever::routing {

/// Returns the beginning of a batch of this pool's own statements, which ends the transaction that was opened on the
/// connection ahead of use.
template <link_connector Connector>
std::vector<sql::command> service_pool<Connector>::begin_batch(slot& held) {
    std::vector<sql::command> out;
    if (std::exchange(held.primed, false)) {
        out.push_back(sql::proxy_command(sql::statement_kind::rollback));
    }
    return out;
}

template <link_connector Connector>
asio::awaitable<bool> service_pool<Connector>::confirm_leadership(slot& held, time_point until) {
    if (held.server_entry->needs_new_proof(held)) {
        co_await renew_empty_log_proof(held, until);
    }
    auto batch = begin_batch(held);
    const auto reply_index = batch.size();
    batch.push_back(sql::proxy_command(sql::statement_kind::begin));
    held.sent_at = boot_clock::now();
    auto& at = *held.server_entry;
    auto answer = co_await held.connection->exchange(std::move(batch), reply_index, until);
    if (!answer) {
        note_failure(at, answer.error());
        co_return false;
    }
    note_reply(at, std::nullopt);
    evaluate_leadership(held, *answer);
    co_return held.primed;
}

/// Confirms leadership again on a connection that the calling code marked busy.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::refresh_leadership(slot& held) {
    (void)co_await confirm_leadership(held, boot_clock::now() + control_limit);
    make_idle(held);
}

template <link_connector Connector>
void service_pool<Connector>::prime_idle(entry& at) {
    for (auto& item : at.open_connections) {
        if (!item->busy) {
            item->busy = true;
            asio::co_spawn(m_executor, refresh_leadership(*item), asio::detached);
        }
    }
}

template <link_connector Connector>
void service_pool<Connector>::start_primary_search() {
    if (!m_searching) {
        m_searching = true;
        asio::co_spawn(m_executor, search_primary(), asio::detached);
    }
}

template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::search_primary() {
    while (m_primary.empty()) {
        std::vector<std::string> ids;
        ids.reserve(m_entries.size());
        for (const auto& [id, at] : m_entries) {
            ids.push_back(id);
        }
        std::ranges::stable_partition(
            ids, [&](const auto& id) { return m_entries.at(id)->server.role == server_role::primary; });
        for (const auto& id : ids) {
            if (m_primary.empty()) {
                co_await probe(id);
            }
        }
        co_await sleep_for(search_period);
    }
    m_searching = false;
}

template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::probe(std::string id) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        co_return;
    }
    auto& at = *found->second;
    if (at.any_idle() == nullptr && may_open(at, boot_clock::now())) {
        ++at.opening;
        co_await open(at, {});
    }
    // The server may have been deregistered while the connection was opened.
    const auto again = m_entries.find(id);
    if (again == m_entries.end()) {
        co_return;
    }
    if (auto* idle = again->second->any_idle(); idle != nullptr) {
        idle->busy = true;
        co_await refresh_leadership(*idle);
    }
}

template <link_connector Connector>
asio::awaitable<link_reply> service_pool<Connector>::query(std::string id, sql::command command,
                                                           std::chrono::milliseconds limit) {
    const auto until = boot_clock::now() + limit;
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        co_return std::unexpected{link_failure::not_sent};
    }
    auto& at = *found->second;
    slot* held = at.any_idle();
    if (held == nullptr) {
        ++at.opening;
        auto opened = co_await m_connector.open(at.server, {}, until);
        --at.opening;
        if (!opened) {
            if (opened.error() == connect_failure::refused) {
                at.refused_at = boot_clock::now();
            }
            forget_if_empty(at);
            co_return std::unexpected{link_failure::not_sent};
        }
        held = &add_slot(at, std::move(*opened), {});
    }
    held->busy = true;
    auto batch = begin_batch(*held);
    batch.push_back(std::move(command));
    const auto reply_index = batch.size() - 1;
    held->sent_at = boot_clock::now();
    auto answer = co_await held->connection->exchange(std::move(batch), reply_index, until);
    if (!answer) {
        note_failure(at, answer.error());
    } else {
        note_position(at, answer->position, held->sent_at);
    }
    if (!m_used) {
        // The pool keeps no connections open while there are no requests for the service.
        held->connection->close();
    }
    check_in(*held);
    co_return answer;
}

template <link_connector Connector>
asio::awaitable<bool> service_pool<Connector>::is_primary_now(std::string id, std::chrono::milliseconds limit) {
    const auto until = boot_clock::now() + limit;
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        co_return false;
    }
    const auto server = found->second->server;
    auto opened = co_await m_connector.open(server, {}, until);
    if (!opened) {
        co_return opened.error() == connect_failure::too_many_connections;
    }
    std::vector<sql::command> batch;
    batch.push_back(sql::proxy_command(sql::statement_kind::begin));
    const auto asked_at = boot_clock::now();
    const auto answer = co_await (*opened)->exchange(std::move(batch), 0, until);
    (*opened)->close();
    if (!answer || !answer->ok()) {
        co_return false;
    }
    const auto again = m_entries.find(id);
    co_return !answer->position || again == m_entries.end() ||
        !lacks_commits(*again->second, *answer->position, asked_at);
}

template <link_connector Connector>
void service_pool<Connector>::tick() {
    const auto now = boot_clock::now();
    close_unused(now);
    m_shares.forget_idle(now);
    if (!m_used) {
        return;
    }
    for (auto& [id, at] : m_entries) {
        if (at->held() == 0 && now >= at->open_after && !at->draining_since) {
            open_one(*at);
        }
        poll_progress(*at, now);
        replace_overdue(*at, now);
        if (m_account_traffic) {
            close_surplus(*at, now);
        }
        if (m_account_traffic && !m_wait_queue.empty()) {
            // Retries to open connections for queued requests after earlier attempts failed.
            serve_queue(*at);
        }
    }
    if (m_primary.empty()) {
        start_primary_search();
        return;
    }
    auto& primary_entry = *m_entries.at(m_primary);
    const auto* newest = m_read_floor.newest();
    const bool stale =
        now - m_leadership_confirmed_at > refresh_after || newest == nullptr || now - newest->asked_at > refresh_after;
    if (stale) {
        if (auto* idle = primary_entry.any_idle(); idle != nullptr) {
            idle->busy = true;
            asio::co_spawn(m_executor, refresh_leadership(*idle), asio::detached);
        }
    }
}

template <link_connector Connector>
void service_pool<Connector>::poll_progress(entry& at, time_point now) {
    // While requests wait, all replicas are polled, because their lag decides whether the primary is handed over.
    const bool lags = at.progress.lag() >= normal_lag;
    const auto period = lags ? progress_poll_period : idle_poll_period;
    if (at.server.id == m_primary || (!lags && m_wait_queue.empty()) || now - at.progress.seen_at() < period) {
        return;
    }
    if (auto* idle = at.any_idle(); idle != nullptr) {
        idle->busy = true;
        asio::co_spawn(m_executor, query_position(*idle), asio::detached);
    }
}

/// Polls a replica for its log position on a connection that the calling code marked busy. An empty transaction
/// suffices for that and takes no execution slot on the replica.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::query_position(slot& held) {
    auto batch = begin_batch(held);
    batch.push_back(sql::proxy_command(sql::statement_kind::begin_read_only));
    const auto reply_index = batch.size();
    batch.push_back(sql::proxy_command(sql::statement_kind::rollback));
    held.sent_at = boot_clock::now();
    auto answer = co_await held.connection->exchange(std::move(batch), reply_index, held.sent_at + control_limit);
    if (answer) {
        note_reply(*held.server_entry, std::nullopt);
        note_position(*held.server_entry, answer->position, held.sent_at);
    } else {
        note_failure(*held.server_entry, answer.error());
    }
    make_idle(held);
}

template <link_connector Connector>
primary_observation service_pool<Connector>::observation() const {
    primary_observation out;
    out.id = m_primary;
    out.leadership_confirmed_at = m_leadership_confirmed_at;
    out.highest_position = m_high_water_mark.highest_position_of(m_primary);
    const auto now = boot_clock::now();
    out.nearest = nearest_replica(m_entries, m_primary, m_read_floor, now);
    out.waiting = m_wait_queue.size();
    if (out.waiting > 0) {
        out.expected_wait = longest_wait(server_capacities(now), queue_snapshot(now), now);
    }
    const auto found = m_entries.find(m_primary);
    if (found != m_entries.end()) {
        const auto& at = *found->second;
        out.last_contact_at = at.last_contact_at;
        out.unreachable = at.unreachable();
        out.refused = at.refused_at > at.last_contact_at;
        out.statements = at.statements.health(boot_clock::now());
    } else if (const auto log_lost_entry = m_entries.find(m_log_lost_server); log_lost_entry != m_entries.end()) {
        // The server is reported as unreachable because it replies but is no valid primary.
        out.id = m_log_lost_server;
        out.last_contact_at = log_lost_entry->second->leadership_valid_after;
        out.unreachable = true;
        out.refused = true;
        out.log_lost = true;
        out.highest_position = m_high_water_mark.highest_position_of(m_log_lost_server);
    }
    return out;
}

} // namespace cornellever::routing
