#pragma once

namespace cornellever::routing {

template <link_connector Connector>
void service_pool<Connector>::update(std::span<const backend_server* const> servers, const drain_times& drains) {
    const auto now = boot_clock::now();
    forget_covered_removals();
    const auto restarted = retire_all_but(servers);
    for (const auto* item : servers) {
        auto& at = m_entries[item->id];
        const bool fresh = at == nullptr;
        if (fresh) {
            at = std::make_unique<entry>();
            m_removed_servers.erase(item->id);
            at->leadership_valid_after = restarted.contains(item->id) ? now : time_point{};
        }
        const bool claims_primary = item->role == server_role::primary && (fresh || at->server.role != item->role);
        at->server = *item;
        at->draining_since = drains.since(item->id);
        // After a primary has lost its log, the registry may still hold an outdated registration of an earlier primary.
        // In that case the registered role alone does not make a server the primary.
        const bool unconfirmed = !m_log_lost_server.empty() || at->empty_log_since;
        if (m_primary.empty() && item->role == server_role::primary && !unconfirmed) {
            m_primary = item->id;
            m_leadership_confirmed_at = time_point{};
        } else if (claims_primary && m_primary != item->id && m_used) {
            asio::co_spawn(m_executor, probe(item->id), asio::detached);
        }
    }
    if (m_used && m_primary.empty()) {
        start_primary_search();
    }
}

/// Retires the entries of servers that are not among `servers`, and of servers that restarted under the same id,
/// because their observed state is obsolete. Returns the ids of the restarted servers.
template <link_connector Connector>
std::set<std::string, std::less<>>
service_pool<Connector>::retire_all_but(std::span<const backend_server* const> servers) {
    std::set<std::string, std::less<>> out;
    for (auto at = m_entries.begin(); at != m_entries.end();) {
        const auto found = std::ranges::find_if(servers, [&](const auto* item) { return item->id == at->first; });
        const bool restarted = found != servers.end() && (*found)->started_after(at->second->server);
        if (found != servers.end() && !restarted) {
            ++at;
            continue;
        }
        if (restarted) {
            log_event(event::server_reborn, "service=" + m_service + " server=" + at->first +
                                                " born_ms=" + std::to_string((*found)->started_at_ms) +
                                                " before_ms=" + std::to_string(at->second->server.started_at_ms));
            out.insert(at->first);
        }
        if (!restarted) {
            note_removed(*at->second);
        }
        if (at->first == m_primary) {
            m_primary.clear();
        }
        auto& old_entry = *m_retired.emplace_back(std::move(at->second));
        at = m_entries.erase(at);
        retire(old_entry);
    }
    return out;
}

/// Records a server that was removed from the registry, and how much of the log it may have held.
template <link_connector Connector>
void service_pool<Connector>::note_removed(const entry& at) {
    if (const auto log_end = known_log_end()) {
        m_removed_servers.insert_or_assign(at.server.id, *log_end);
        log_event(event::server_removed,
                  "service=" + m_service + " server=" + at.server.id + " log_end=" + sql::to_string(*log_end));
    }
}

/// Discards the removed servers whose log cannot be longer than that of a registered replica.
template <link_connector Connector>
void service_pool<Connector>::forget_covered_removals() {
    std::erase_if(m_removed_servers, [&](const auto& removed) {
        return std::ranges::any_of(m_entries, [&](const auto& item) {
            const auto& applied = item.second->progress.applied();
            return item.first != m_primary && applied && *applied >= removed.second;
        });
    });
}

/// Returns the highest position of the primary's log that this proxy knows of.
template <link_connector Connector>
std::optional<sql::log_position> service_pool<Connector>::known_log_end() const {
    auto out = m_high_water_mark.highest_position_of(m_primary);
    if (const auto* newest = m_read_floor.newest(); newest != nullptr && (!out || *out < newest->position)) {
        out = newest->position;
    }
    return out;
}

template <link_connector Connector>
void service_pool<Connector>::close_idle(entry& at) {
    std::vector<slot*> idle;
    for (auto& item : at.open_connections) {
        if (!item->busy) {
            idle.push_back(item.get());
        }
    }
    for (auto* item : idle) {
        destroy(*item);
    }
}

/// Retires an entry. Its idle connections are closed now, and those in use when they are returned to the pool.
template <link_connector Connector>
void service_pool<Connector>::retire(entry& old_entry) {
    old_entry.retired = true;
    close_idle(old_entry);
    forget_if_empty(old_entry);
}

/// Closes the unused connections of a proxy that is not a connection owner.
template <link_connector Connector>
void service_pool<Connector>::close_unused(time_point now) {
    if (m_is_owner || !m_used || !m_wait_queue.empty() || now - m_used_at < unused_for) {
        return;
    }
    for (auto& [id, at] : m_entries) {
        close_idle(*at);
    }
    m_used = std::ranges::any_of(m_entries, [](const auto& item) { return item.second->held() > 0; });
}

template <link_connector Connector>
bool service_pool<Connector>::eligible(const connection_request& request, const entry& at, time_point now) const {
    const bool primary = at.server.id == m_primary;
    if (at.retired || (request.primary && !primary)) {
        return false;
    }
    if (at.draining_since && (!primary || now - *at.draining_since > draining_primary_use)) {
        return false;
    }
    if (std::ranges::find(request.excluded_servers, at.server.id) != request.excluded_servers.end()) {
        return false;
    }
    return primary || !request.floor || !at.progress.lacks(*request.floor, now, m_read_floor);
}

template <link_connector Connector>
typename service_pool<Connector>::slot* service_pool<Connector>::best_idle(const entry& at,
                                                                           const connection_request& request) const {
    slot* best = nullptr;
    std::size_t best_cost = 0;
    for (auto& item : at.open_connections) {
        if (item->busy || item->account != request.account) {
            continue;
        }
        auto cost = request.session == nullptr ? 0 : 2 * session::replay_cost(*request.session, item->memory);
        cost += request.primary && !item->primed ? 1 : 0;
        if (best == nullptr || cost < best_cost) {
            best = item.get();
            best_cost = cost;
        }
    }
    return best;
}

template <link_connector Connector>
typename service_pool<Connector>::slot* service_pool<Connector>::check_out(const connection_request& request) {
    const auto now = boot_clock::now();
    std::vector<placement_candidate> candidates;
    std::vector<entry*> at;
    bool replica_connected = false;
    for (auto& [id, item] : m_entries) {
        if (!eligible(request, *item, now) || item->active_count() >= max_concurrency(*item)) {
            continue;
        }
        const bool primary = id == m_primary;
        replica_connected = replica_connected || (!primary && !item->open_connections.empty());
        auto* idle = best_idle(*item, request);
        candidates.push_back(
            {.same_data_center = item->server.data_center == m_data_center,
             .primary = primary,
             .in_flight = item->in_flight,
             .idle = item->idle_count(request.account),
             .statement_time = std::chrono::duration<double, std::milli>{item->statement_time.value(now)},
             .replay = idle != nullptr && request.session != nullptr
                           ? session::replay_cost(*request.session, idle->memory)
                           : 0});
        at.push_back(item.get());
    }
    // A connection to the primary is kept free for writes only among connections without an account. An account rarely
    // has more than one connection to a server, so keeping that one free would open another connection elsewhere for
    // each read.
    const bool spare_primary = !request.primary && replica_connected && m_budget > 1 && request.account.empty();
    const auto chosen = place_read(candidates, spare_primary);
    if (!chosen) {
        return nullptr;
    }
    auto* found = best_idle(*at[*chosen], request);
    found->busy = true;
    return found;
}

template <link_connector Connector>
void service_pool<Connector>::open_for_request(const connection_request& request) {
    if (m_account_traffic) {
        if (auto* at = choose_server_to_open(request); at != nullptr) {
            open_for_account(*at, request.account, false);
        }
        return;
    }
    const auto now = boot_clock::now();
    entry* best = nullptr;
    for (auto& [id, item] : m_entries) {
        if (!eligible(request, *item, now) || !may_open(*item, now)) {
            continue;
        }
        if (best == nullptr || item->held() < best->held()) {
            best = item.get();
        }
    }
    if (best != nullptr) {
        open_one(*best);
    }
}

template <link_connector Connector>
void service_pool<Connector>::open_one(entry& at, std::string account) {
    ++at.opening;
    asio::co_spawn(m_executor, open(at, std::move(account)), asio::detached);
}

template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::open(entry& at, std::string account) {
    const auto asked_at = boot_clock::now();
    auto opened = co_await m_connector.open(at.server, account, asked_at + open_limit);
    note_opened(at, account);
    const auto now = boot_clock::now();
    if (!opened) {
        const auto why = opened.error();
        if (why == connect_failure::refused) {
            at.refused_at = now;
        } else if (why == connect_failure::silent) {
            at.timed_out_at = now;
        } else {
            at.last_contact_at = now;
        }
        if (why == connect_failure::too_many_connections) {
            at.limit_reached_at = now;
        }
        const auto backoff = std::min(initial_backoff * (1 << std::min(at.failed_opens, 4)), max_backoff);
        ++at.failed_opens;
        at.open_after = now + backoff;
        log_event(event::connect_failed, "service=" + m_service + " server=" + at.server.id +
                                             " reason=" + std::string{to_string(why)} +
                                             " retry_ms=" + std::to_string(to_ms(backoff)));
        forget_if_empty(at);
        co_return;
    }
    note_slot_time(at, account, now - asked_at);
    at.failed_opens = 0;
    at.last_contact_at = now;
    auto& added = add_slot(at, std::move(*opened), account);
    if (at.server.id == m_primary && !at.retired) {
        co_await refresh_leadership(added);
        co_return;
    }
    make_idle(added);
}

/// Adds an open connection and marks it as in use.
template <link_connector Connector>
typename service_pool<Connector>::slot& service_pool<Connector>::add_slot(entry& at, std::unique_ptr<link> connection,
                                                                          const std::string& account) {
    auto& added = *at.open_connections.emplace_back(std::make_unique<slot>());
    added.connection = std::move(connection);
    added.opened_at = boot_clock::now();
    added.server_entry = &at;
    added.account = account;
    added.busy = true;
    return added;
}

template <link_connector Connector>
void service_pool<Connector>::check_in(slot& held) {
    held.idle_in_transaction = false;
    if (!held.connection->usable()) {
        auto& at = *held.server_entry;
        destroy(held);
        if (!m_account_traffic && !m_wait_queue.empty() && !at.retired && may_open(at, boot_clock::now())) {
            open_one(at);
        }
        serve_queue(at);
        forget_if_empty(at);
        return;
    }
    asio::co_spawn(m_executor, await_pending(held), asio::detached);
}

/// Reads the replies that a request left pending. If the last reply shows an open transaction on the primary, the
/// connection is marked as primed.
template <link_connector Connector>
asio::awaitable<void> service_pool<Connector>::await_pending(slot& held) {
    auto last = co_await held.connection->await_pending(boot_clock::now() + control_limit);
    auto& at = *held.server_entry;
    if (!last) {
        note_failure(at, last.error());
        log_event(event::connection_broken, "service=" + m_service + " server=" + at.server.id +
                                                " while=settling reason=" + std::string{to_string(last.error())});
        destroy(held);
        serve_queue(at);
        forget_if_empty(at);
        co_return;
    }
    note_reply(at, std::nullopt);
    evaluate_leadership(held, *last);
    const bool lacks_confirmation = last->state == sql::transaction_state::open && !held.primed;
    if (last->state == sql::transaction_state::failed || lacks_confirmation) {
        held.connection->close();
    }
    make_idle(held);
}

template <link_connector Connector>
void service_pool<Connector>::make_idle(slot& held) {
    auto& at = *held.server_entry;
    if (at.retired || !held.connection->usable() || at.open_connections.size() > connection_cap(at) + at.overdue()) {
        destroy(held);
        serve_queue(at);
        forget_if_empty(at);
        return;
    }
    held.busy = false;
    held.returned_at = boot_clock::now();
    serve_queue(at);
}

template <link_connector Connector>
void service_pool<Connector>::destroy(slot& held) {
    held.connection->close();
    std::erase_if(held.server_entry->open_connections, [&](const auto& item) { return item.get() == &held; });
}

template <link_connector Connector>
void service_pool<Connector>::forget_if_empty(entry& at) {
    if (at.retired && at.open_connections.empty() && at.opening == 0) {
        std::erase_if(m_retired, [&](const auto& item) { return item.get() == &at; });
    }
}

} // namespace cornellever::routing
