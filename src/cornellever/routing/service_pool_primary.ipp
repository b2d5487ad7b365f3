#pragma once

// Asking servers whether they lead and how far they are; looking for the primary.

namespace cornellever::routing {

template <link_connector Connector>
asio::awaitable<bool> service_pool<Connector>::confirm_leadership(slot& held, time_point until) {
    std::vector<sql::command> batch;
    if (std::exchange(held.primed, false)) {
        batch.push_back(sql::proxy_command(sql::statement_kind::rollback));
    }
    const auto wanted = batch.size();
    batch.push_back(sql::proxy_command(sql::statement_kind::begin));
    held.sent_at = boot_clock::now();
    auto& at = *held.server_entry;
    auto answer = co_await held.connection->exchange(std::move(batch), wanted, until);
    if (!answer) {
        note_failure(at, answer.error());
        co_return false;
    }
    note_reply(at, std::nullopt);
    learn_lead(held, *answer);
    co_return held.primed;
}

/// Proves the lead anew on a connection that the caller marked busy.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::refresh(slot& held) {
    (void)co_await confirm_leadership(held, boot_clock::now() + control_limit);
    make_idle(held);
}

template <link_connector Connector>
void service_pool<Connector>::arm_idle(entry& at) {
    for (auto& item : at.open_connections) {
        if (!item->busy) {
            item->busy = true;
            asio::co_spawn(m_executor, refresh(*item), asio::detached);
        }
    }
}

template <link_connector Connector>
void service_pool<Connector>::seek() {
    if (!m_seeking) {
        m_seeking = true;
        asio::co_spawn(m_executor, seek_primary(), asio::detached);
    }
}

template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::seek_primary() {
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
        co_await sleep_for(seek_period);
    }
    m_seeking = false;
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
    // Opening may have taken a while: the server may be gone by now.
    const auto again = m_entries.find(id);
    if (again == m_entries.end()) {
        co_return;
    }
    if (auto* idle = again->second->any_idle(); idle != nullptr) {
        idle->busy = true;
        co_await refresh(*idle);
    }
}

template <link_connector Connector>
asio::awaitable<link_reply> service_pool<Connector>::ask(std::string id, sql::command what,
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
    std::vector<sql::command> batch;
    if (std::exchange(held->primed, false)) {
        batch.push_back(sql::proxy_command(sql::statement_kind::rollback));
    }
    batch.push_back(std::move(what));
    const auto wanted = batch.size() - 1;
    held->sent_at = boot_clock::now();
    auto answer = co_await held->connection->exchange(std::move(batch), wanted, until);
    if (!answer) {
        note_failure(at, answer.error());
    }
    if (!m_used) {
        // This proxy holds no connections to the service's servers.
        held->connection->close();
    }
    take_back(*held);
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
    co_return !answer->position || again == m_entries.end() || !lacks_log(*again->second, *answer->position, asked_at);
}

template <link_connector Connector>
void service_pool<Connector>::tick() {
    const auto now = boot_clock::now();
    give_back_unused(now);
    if (!m_used) {
        return;
    }
    for (auto& [id, at] : m_entries) {
        if (at->held() == 0 && now >= at->open_after && !at->draining_since) {
            open_one(*at);
        }
        watch_progress(*at, now);
        replace_overdue(*at, now);
        if (m_named) {
            close_unneeded(*at, now);
        }
        if (m_named && !m_line.empty()) {
            // An opening that failed is tried again.
            offer(*at);
        }
    }
    if (m_primary.empty()) {
        seek();
        return;
    }
    auto& leader = *m_entries.at(m_primary);
    const auto* newest = m_floor.newest();
    const bool stale =
        now - m_primary_at > refresh_after || newest == nullptr || now - newest->asked_at > refresh_after;
    if (stale) {
        if (auto* idle = leader.any_idle(); idle != nullptr) {
            idle->busy = true;
            asio::co_spawn(m_executor, refresh(*idle), asio::detached);
        }
    }
}

template <link_connector Connector>
void service_pool<Connector>::watch_progress(entry& at, time_point now) {
    if (at.server.id == m_primary || at.progress.lag() < ordinary_lag ||
        now - at.progress.seen_at() < progress_period) {
        return;
    }
    if (auto* idle = at.any_idle(); idle != nullptr) {
        idle->busy = true;
        asio::co_spawn(m_executor, ask_position(*idle), asio::detached);
    }
}

/// Asks a replica for its position on a connection that the caller marked
/// busy, by a transaction that runs nothing: it takes no slot there.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::ask_position(slot& held) {
    std::vector<sql::command> batch;
    batch.push_back(sql::proxy_command(sql::statement_kind::begin_read_only));
    batch.push_back(sql::proxy_command(sql::statement_kind::rollback));
    held.sent_at = boot_clock::now();
    auto answer = co_await held.connection->exchange(std::move(batch), 1, held.sent_at + control_limit);
    if (answer) {
        note_reply(*held.server_entry, std::nullopt);
        note_position(*held.server_entry, answer->position);
    } else {
        note_failure(*held.server_entry, answer.error());
    }
    make_idle(held);
}

template <link_connector Connector>
primary_observation service_pool<Connector>::observation() const {
    primary_observation out;
    out.id = m_primary;
    out.leadership_confirmed_at = m_primary_at;
    out.highest_position = m_leader_log.highest_position_of(m_primary);
    const auto found = m_entries.find(m_primary);
    if (found != m_entries.end()) {
        const auto& at = *found->second;
        out.last_contact_at = at.last_contact_at;
        out.unreachable = at.unreachable();
        out.refused = at.refused_at > at.last_contact_at;
    } else if (const auto without = m_entries.find(m_without_log); without != m_entries.end()) {
        // It answers, and yet no primary does there.
        out.id = m_without_log;
        out.last_contact_at = without->second->since;
        out.unreachable = true;
        out.refused = true;
        out.log_lost = true;
        out.highest_position = m_leader_log.highest_position_of(m_without_log);
    }
    return out;
}

} // namespace cornellever::routing
