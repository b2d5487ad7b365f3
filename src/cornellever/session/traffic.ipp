#pragma once

namespace cornellever::session {

template <routing::link_connector Connector>
void traffic<Connector>::update(routing::configuration config) {
    if (config.version <= m_config.version) {
        return;
    }
    log_event(event::config_loaded, "version=" + std::to_string(config.version) +
                                        " before=" + std::to_string(m_config.version) +
                                        " databases=" + std::to_string(config.routes.size()) +
                                        " services=" + std::to_string(config.services.size()));
    m_config = std::move(config);
    m_authorizer.set_accounts(m_config.accounts);
    m_configuration_due.cancel();
    for (auto& [name, backends] : m_pools) {
        backends->start_epoch(boot_clock::now());
    }
    update_connection_budgets();
}

template <routing::link_connector Connector>
void traffic<Connector>::update(routing::registry servers, boot_clock::time_point before_current_at) {
    if (servers.version < m_registry.version) {
        return;
    }
    const auto now = boot_clock::now();
    m_drain_times.update(m_registry, servers, before_current_at, now);
    if (before_current_at == boot_clock::time_point{} || now - before_current_at > store_outage_threshold) {
        m_registry_complete_at = now + registration_return_time;
        for (auto& [name, backends] : m_pools) {
            backends->await_returning_servers(m_registry_complete_at);
        }
    }
    m_registry = std::move(servers);
    if (m_ownership.update_slots(m_registry)) {
        update_connection_budgets();
    }
    update_pools();
}

template <routing::link_connector Connector>
void traffic<Connector>::update_pools() {
    const auto registered = routing::group_by_service(m_registry);
    for (auto& [name, backends] : m_pools) {
        const auto own = registered.find(name);
        backends->update(own == registered.end() ? std::span<const routing::backend_server* const>{} : own->second,
                         m_drain_times);
    }
}

template <routing::link_connector Connector>
void traffic<Connector>::count(const sql::reply& out, boot_clock::time_point arrival) {
    if (out.error) {
        m_counters.count_refusal(out.error->why);
        return;
    }
    ++m_counters.statements_served;
    m_counters.statement_latency.record(boot_clock::now() - arrival);
}

template <routing::link_connector Connector>
typename traffic<Connector>::pool& traffic<Connector>::pool_for(const std::string& service) {
    auto& found = m_pools[service];
    if (found == nullptr) {
        found = std::make_unique<pool>(m_executor, m_connector, service, m_data_center);
        found->await_returning_servers(m_registry_complete_at);
        if (const auto reported = m_reported_positions.extract(service)) {
            found->note_reported_position(reported.mapped().server, reported.mapped().furthest);
        }
        update_connection_budgets();
        update_pools();
    }
    return *found;
}

template <routing::link_connector Connector>
void traffic<Connector>::note_reported_position(const std::string& service, reported_position position) {
    if (const auto found = m_pools.find(service); found != m_pools.end()) {
        found->second->note_reported_position(position.server, position.furthest);
    } else if (m_config.services.contains(service)) {
        m_reported_positions.insert_or_assign(service, std::move(position));
    }
}

template <routing::link_connector Connector>
sql::transaction_state traffic<Connector>::state_of(const active_session& active) {
    if (!active.open_transaction) {
        return active.at_peer.state;
    }
    return active.open_transaction->failed ? sql::transaction_state::failed : sql::transaction_state::open;
}

template <routing::link_connector Connector>
boot_clock::time_point traffic<Connector>::request_deadline(const active_session& active) const {
    const auto now = boot_clock::now();
    if (!active.open_transaction || m_config.transaction_idle.count() == 0) {
        return now + idle_session_limit;
    }
    return now + m_config.transaction_idle;
}

template <routing::link_connector Connector>
void traffic<Connector>::close_idle_sessions() {
    m_close_after_answer = true;
    m_close_idle_sessions = true;
    for (auto* item : m_sessions) {
        if (item->status.is_idle) {
            item->status.close_if_no_input();
        }
    }
}

template <routing::link_connector Connector>
void traffic<Connector>::close_idle_in_transaction() {
    for (auto* item : m_sessions) {
        if (item->status.awaiting_request && !item->status.is_idle) {
            item->status.close_if_no_input();
        }
    }
}

/// Delays a session opening that arrives before the first configuration, at most until `max_configuration_wait` after
/// the start of the process. When all proxies are started together, refused callers would retry at proxies that have no
/// configuration either and use up their attempts within milliseconds. After that time, a session opening is refused
/// immediately if there is still no configuration.
template <routing::link_connector Connector>
asio::awaitable<void> traffic<Connector>::await_configuration() {
    if (!has_configuration()) {
        boost::system::error_code ignored;
        co_await m_configuration_due.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

template <routing::link_connector Connector>
template <caller_channel Caller>
asio::awaitable<void> traffic<Connector>::serve(Caller caller) {
    constexpr auto opening_limit = std::chrono::seconds{10};
    const auto opened = co_await caller.next(boot_clock::now() + opening_limit);
    const auto* opening = std::get_if<session_opening>(&opened);
    if (opening == nullptr) {
        caller.close();
        co_return;
    }
    co_await await_configuration();
    co_await await_version(opening->config_version);
    if (refuse_opening(*opening, caller)) {
        co_return;
    }
    active_session active;
    active.state.id = ++m_last_session_id;
    active.state.database = opening->database;
    active.state.key = opening->key;
    active.state.last_commits = opening->last_commits;
    const auto route = m_config.routes.find(opening->database);
    if (opening->last_commit && opening->last_commits.empty() && route != m_config.routes.end()) {
        active.state.last_commits.emplace(route->second.service, *opening->last_commit);
    }
    active.status.close_if_no_input = [&caller] { caller.close_if_no_input(); };
    active.relayed = opening->relayed;
    m_sessions.insert(&active);
    ++m_counters.sessions_opened;
    caller.accept();
    bool answered = false;
    for (;;) {
        active.status.is_idle = active.outside_transaction();
        const bool closing = m_close_idle_sessions || (m_close_after_answer && answered);
        // A request that has already arrived is still answered, because its caller could not know that the session was
        // about to be closed.
        if (closing && active.status.is_idle && caller.close_if_no_input()) {
            break;
        }
        active.status.awaiting_request = true;
        auto input = co_await caller.next(request_deadline(active));
        active.status.awaiting_request = false;
        active.status.is_idle = false;
        if (const auto* request = std::get_if<sql::request>(&input)) {
            const auto arrival = boot_clock::now();
            if (const auto key_refusal = refuse_revoked_key(active, *request)) {
                count(*key_refusal, arrival);
                caller.send(*key_refusal);
                break;
            }
            if (!active.relayed && m_proxies.empty()) {
                co_await await_proxies();
            }
            if (starts_operation(active, *request)) {
                if (const auto limit_refusal = co_await refuse_over_limit(active, *request)) {
                    count(*limit_refusal, arrival);
                    caller.send(*limit_refusal);
                    answered = true;
                    continue;
                }
            }
            const sql::reply out = co_await answer_at_site(active, *request);
            count(out, arrival);
            caller.send(out);
            answered = true;
            continue;
        }
        if (const auto* bad_input = std::get_if<malformed_input>(&input)) {
            caller.send(refused(sql::refusal::malformed, bad_input->why, state_of(active)));
            continue;
        }
        if (std::holds_alternative<caller_timed_out>(input) && active.open_transaction) {
            // Frees the connection that the idle transaction holds.
            log_event(event::transaction_abandoned,
                      "database=" + printable_word(active.state.database) + " reason=idle");
            m_engine.roll_back_transaction(*active.open_transaction);
            active.open_transaction->failed = true;
            continue;
        }
        break;
    }
    if (active.open_transaction) {
        m_engine.roll_back_transaction(*active.open_transaction);
    }
    active.at_peer.close();
    m_sessions.erase(&active);
    caller.close();
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::answer_at_site(active_session& active, const sql::request& request) {
    choose_site(active);
    if (active.site == execution_site::local) {
        co_return co_await answer(active, request);
    }
    co_return co_await relay(active, request);
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::begin(active_session& active, bool read_only) {
    if (active.open_transaction) {
        return refused(sql::refusal::malformed, "a transaction is open", state_of(active));
    }
    const auto route = m_config.routes.find(active.state.database);
    if (route == m_config.routes.end()) {
        return refused(sql::refusal::no_such_database, printable_word(active.state.database),
                       sql::transaction_state::idle);
    }
    active.open_transaction.emplace(
        transaction{.route = route->second, .backends = &pool_for(route->second.service), .read_only = read_only});
    ++m_counters.transactions_opened;
    return acknowledged(sql::transaction_state::open);
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::roll_back(active_session& active) {
    if (active.open_transaction) {
        m_engine.roll_back_transaction(*active.open_transaction);
        active.open_transaction.reset();
    }
    return acknowledged(sql::transaction_state::idle);
}

/// Applies a SET, PREPARE or DEALLOCATE to the session's state.
template <routing::link_connector Connector>
sql::reply traffic<Connector>::update_session(active_session& active, const sql::statement& statement) {
    auto& session = active.state;
    bool stored = true;
    if (statement.kind == sql::statement_kind::set) {
        stored = session.set_value(statement.name, statement.text);
    } else if (statement.kind == sql::statement_kind::prepare) {
        stored = session.prepare(statement.name, {statement.access_mode, statement.text});
    } else if (!session.deallocate(statement.name)) {
        return refused(sql::refusal::no_such_prepared_statement, printable_word(statement.name), state_of(active));
    }
    if (!stored) {
        return refused(sql::refusal::malformed,
                       "the session's values and prepared statements take more than " +
                           std::to_string(session_state::max_stored_bytes) + " bytes",
                       state_of(active));
    }
    return acknowledged(state_of(active));
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::answer(active_session& active, const sql::request& request) {
    const auto kind = request.what.kind;
    const bool ends = kind == sql::statement_kind::commit || kind == sql::statement_kind::rollback;
    if (active.open_transaction && active.open_transaction->failed) {
        if (!ends) {
            co_return refused(sql::refusal::malformed, "the transaction failed", sql::transaction_state::failed);
        }
        active.open_transaction.reset();
        if (kind == sql::statement_kind::rollback) {
            co_return acknowledged(sql::transaction_state::idle);
        }
        co_return refused(sql::refusal::aborted, "the transaction failed", sql::transaction_state::idle);
    }
    if (active.open_transaction && m_abort_transactions && kind != sql::statement_kind::commit) {
        m_engine.roll_back_transaction(*active.open_transaction);
        active.open_transaction->failed = true;
        co_return refused(sql::refusal::aborted, "this proxy is stopping", sql::transaction_state::failed);
    }
    switch (kind) {
    case sql::statement_kind::begin:
        co_return begin(active, false);
    case sql::statement_kind::begin_read_only:
        co_return begin(active, true);
    case sql::statement_kind::rollback:
        co_return roll_back(active);
    case sql::statement_kind::set:
    case sql::statement_kind::prepare:
    case sql::statement_kind::deallocate:
        co_return update_session(active, request.what);
    case sql::statement_kind::commit:
    case sql::statement_kind::read:
    case sql::statement_kind::write:
    case sql::statement_kind::execute:
        break;
    default:
        co_return refused(sql::refusal::malformed, "not a caller's statement", state_of(active));
    }
    co_return co_await run(active, request);
}

/// Executes a statement that needs a backend server.
template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::run(active_session& active, const sql::request& request) {
    const auto arrival = boot_clock::now();
    const prepared_statement* prepared = nullptr;
    if (request.what.kind == sql::statement_kind::execute) {
        const auto found = active.state.prepared.find(request.what.name);
        if (found == active.state.prepared.end()) {
            co_return refused(sql::refusal::no_such_prepared_statement, printable_word(request.what.name),
                              state_of(active));
        }
        prepared = &found->second;
    }
    if (!active.open_transaction) {
        if (request.what.kind == sql::statement_kind::commit) {
            co_return refused(sql::refusal::malformed, "no transaction is open", sql::transaction_state::idle);
        }
        const auto found = m_config.routes.find(active.state.database);
        if (found == m_config.routes.end()) {
            co_return refused(sql::refusal::no_such_database, printable_word(active.state.database),
                              sql::transaction_state::idle);
        }
        // The route is copied because a newer configuration may replace it while the statement runs.
        const auto route = found->second;
        const statement_run execution{route, m_authorizer, active.state, request, prepared, arrival};
        co_return co_await m_engine.run_autocommit(pool_for(route.service), execution);
    }
    const statement_run execution{
        active.open_transaction->route, m_authorizer, active.state, request, prepared, arrival};
    if (active.open_transaction->read_only && execution.writes()) {
        m_engine.roll_back_transaction(*active.open_transaction);
        active.open_transaction->failed = true;
        co_return refused(sql::refusal::not_primary, "the transaction only reads", sql::transaction_state::failed);
    }
    auto out = co_await m_engine.run_in_transaction(*active.open_transaction, execution);
    if (request.what.kind == sql::statement_kind::commit) {
        active.open_transaction.reset();
    }
    co_return out;
}

} // namespace cornellever::session
