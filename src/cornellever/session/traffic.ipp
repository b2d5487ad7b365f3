#pragma once

namespace cornellever::session {

template <routing::link_connector Connector>
void traffic<Connector>::update(routing::configuration config) {
    if (config.version <= m_config.version) {
        return;
    }
    log_event(event::config_loaded, "version=" + std::to_string(config.version) +
                                        " before=" + std::to_string(m_config.version) +
                                        " databases=" + std::to_string(config.routes.size()));
    m_config = std::move(config);
    m_gate.take(m_config.accounts);
    m_configuration_due.cancel();
    for (auto& [name, backends] : m_pools) {
        backends->start_epoch(boot_clock::now());
    }
    share_connections_anew();
}

template <routing::link_connector Connector>
void traffic<Connector>::update(routing::registry servers) {
    if (servers.version < m_registry.version) {
        return;
    }
    m_registry = std::move(servers);
    share_servers();
}

template <routing::link_connector Connector>
void traffic<Connector>::share_servers() {
    const auto registered = routing::group_by_service(m_registry);
    for (auto& [name, backends] : m_pools) {
        const auto own = registered.find(name);
        backends->update(own == registered.end() ? std::span<const routing::backend_server* const>{} : own->second);
    }
}

template <routing::link_connector Connector>
void traffic<Connector>::count(const sql::reply& out, boot_clock::time_point arrival) {
    if (out.error) {
        m_counters.count_refusal(out.error->why);
        return;
    }
    ++m_counters.statements_served;
    m_counters.served_in.record(boot_clock::now() - arrival);
}

template <routing::link_connector Connector>
typename traffic<Connector>::pool& traffic<Connector>::pool_for(const std::string& service) {
    auto& found = m_pools[service];
    if (found == nullptr) {
        found = std::make_unique<pool>(m_executor, m_connector, service, m_data_center);
        if (const auto told = m_told_logs.extract(service)) {
            found->note_told(told.mapped().server, told.mapped().furthest);
        }
        share_connections_anew();
        share_servers();
    }
    return *found;
}

template <routing::link_connector Connector>
void traffic<Connector>::note_told(const std::string& service, told_log what) {
    if (const auto found = m_pools.find(service); found != m_pools.end()) {
        found->second->note_told(what.server, what.furthest);
    } else if (m_config.services.contains(service)) {
        m_told_logs.insert_or_assign(service, std::move(what));
    }
}

template <routing::link_connector Connector>
sql::transaction_state traffic<Connector>::state_of(const conversation& with) {
    if (!with.open) {
        return with.elsewhere.state;
    }
    return with.open->failed ? sql::transaction_state::failed : sql::transaction_state::open;
}

template <routing::link_connector Connector>
boot_clock::time_point traffic<Connector>::silence_limit(const conversation& with) const {
    const auto now = boot_clock::now();
    if (!with.open || m_config.transaction_idle.count() == 0) {
        return now + resting_limit;
    }
    return now + m_config.transaction_idle;
}

template <routing::link_connector Connector>
void traffic<Connector>::close_idle_sessions() {
    m_closing = true;
    m_closing_resting = true;
    for (auto* item : m_sessions) {
        if (item->status.resting) {
            item->status.close_if_no_input();
        }
    }
}

template <routing::link_connector Connector>
void traffic<Connector>::close_idle_in_transaction() {
    for (auto* item : m_sessions) {
        if (item->status.waited_for && !item->status.resting) {
            item->status.close_if_no_input();
        }
    }
}

/// Holds an opening that came before the first configuration. When all proxies
/// are started together, callers that are refused come back to others which
/// don't know it either, and use up their tries within milliseconds. What is
/// due within the limit is worth waiting for; later ones are refused at once.
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
    conversation with;
    with.state.id = ++m_last_session;
    with.state.database = opening->database;
    with.state.key = opening->key;
    with.state.last_commit = opening->last_commit;
    with.status.close_if_no_input = [&caller] { caller.close_if_no_input(); };
    with.relayed = opening->relayed;
    m_sessions.insert(&with);
    ++m_counters.sessions_opened;
    caller.welcome();
    bool answered = false;
    for (;;) {
        with.status.resting = with.between_operations();
        const bool closing = m_closing_resting || (m_closing && answered);
        // A request that has arrived is still answered: the caller could not
        // know that the session was about to end.
        if (closing && with.status.resting && caller.close_if_no_input()) {
            break;
        }
        with.status.waited_for = true;
        auto happened = co_await caller.next(silence_limit(with));
        with.status.waited_for = false;
        with.status.resting = false;
        if (const auto* asked = std::get_if<sql::request>(&happened)) {
            const auto arrival = boot_clock::now();
            if (const auto taken = refuse_key(with, *asked)) {
                count(*taken, arrival);
                caller.send(*taken);
                break;
            }
            if (!with.relayed && m_proxies.empty()) {
                co_await await_proxies();
            }
            if (starts_operation(with, *asked)) {
                if (const auto over = co_await refuse_over_limit(with, *asked)) {
                    count(*over, arrival);
                    caller.send(*over);
                    answered = true;
                    continue;
                }
            }
            const sql::reply out = co_await answer_where_placed(with, *asked);
            count(out, arrival);
            caller.send(out);
            answered = true;
            continue;
        }
        if (const auto* garbled = std::get_if<malformed_input>(&happened)) {
            caller.send(refused(sql::refusal::malformed, garbled->why, state_of(with)));
            continue;
        }
        if (std::holds_alternative<caller_timed_out>(happened) && with.open) {
            // The connection that the transaction holds is wanted by others.
            log_event(event::transaction_abandoned, "database=" + with.state.database + " reason=idle");
            m_engine.undo(*with.open);
            with.open->failed = true;
            continue;
        }
        break;
    }
    if (with.open) {
        m_engine.undo(*with.open);
    }
    with.elsewhere.close();
    m_sessions.erase(&with);
    caller.close();
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::answer_where_placed(conversation& with, const sql::request& asked) {
    place_session(with);
    if (with.where == served_by::itself) {
        co_return co_await answer(with, asked);
    }
    co_return co_await relay(with, asked);
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::begin(conversation& with, bool read_only) {
    if (with.open) {
        return refused(sql::refusal::malformed, "a transaction is open", state_of(with));
    }
    const auto route = m_config.routes.find(with.state.database);
    if (route == m_config.routes.end()) {
        return refused(sql::refusal::no_such_database, with.state.database, sql::transaction_state::idle);
    }
    with.open.emplace(
        transaction{.route = route->second, .backends = &pool_for(route->second.service), .read_only = read_only});
    ++m_counters.transactions_opened;
    return acknowledged(sql::transaction_state::open);
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::roll_back(conversation& with) {
    if (with.open) {
        m_engine.undo(*with.open);
        with.open.reset();
    }
    return acknowledged(sql::transaction_state::idle);
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::prepare(conversation& with, const sql::statement& what) {
    with.state.prepared.insert_or_assign(what.name, prepared_statement{what.touches, what.text});
    return acknowledged(state_of(with));
}

template <routing::link_connector Connector>
sql::reply traffic<Connector>::deallocate(conversation& with, const sql::statement& what) {
    if (with.state.prepared.erase(what.name) == 0) {
        return refused(sql::refusal::no_such_prepared_statement, what.name, state_of(with));
    }
    return acknowledged(state_of(with));
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::answer(conversation& with, const sql::request& asked) {
    const auto kind = asked.what.kind;
    const bool ends = kind == sql::statement_kind::commit || kind == sql::statement_kind::rollback;
    if (with.open && with.open->failed) {
        if (!ends) {
            co_return refused(sql::refusal::malformed, "the transaction failed", sql::transaction_state::failed);
        }
        with.open.reset();
        if (kind == sql::statement_kind::rollback) {
            co_return acknowledged(sql::transaction_state::idle);
        }
        co_return refused(sql::refusal::aborted, "the transaction failed", sql::transaction_state::idle);
    }
    if (with.open && m_ending_transactions && kind != sql::statement_kind::commit) {
        m_engine.undo(*with.open);
        with.open->failed = true;
        co_return refused(sql::refusal::aborted, "this proxy is stopping", sql::transaction_state::failed);
    }
    switch (kind) {
    case sql::statement_kind::begin:
        co_return begin(with, false);
    case sql::statement_kind::begin_read_only:
        co_return begin(with, true);
    case sql::statement_kind::rollback:
        co_return roll_back(with);
    case sql::statement_kind::set:
        with.state.values.insert_or_assign(asked.what.name, asked.what.text);
        co_return acknowledged(state_of(with));
    case sql::statement_kind::prepare:
        co_return prepare(with, asked.what);
    case sql::statement_kind::deallocate:
        co_return deallocate(with, asked.what);
    case sql::statement_kind::commit:
    case sql::statement_kind::read:
    case sql::statement_kind::write:
    case sql::statement_kind::execute:
        break;
    default:
        co_return refused(sql::refusal::malformed, "not a caller's statement", state_of(with));
    }
    co_return co_await run(with, asked);
}

/// Runs what a backend server has to run.
template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::run(conversation& with, const sql::request& asked) {
    const auto arrival = boot_clock::now();
    const prepared_statement* prepared = nullptr;
    if (asked.what.kind == sql::statement_kind::execute) {
        const auto found = with.state.prepared.find(asked.what.name);
        if (found == with.state.prepared.end()) {
            co_return refused(sql::refusal::no_such_prepared_statement, asked.what.name, state_of(with));
        }
        prepared = &found->second;
    }
    if (!with.open) {
        if (asked.what.kind == sql::statement_kind::commit) {
            co_return refused(sql::refusal::malformed, "no transaction is open", sql::transaction_state::idle);
        }
        const auto found = m_config.routes.find(with.state.database);
        if (found == m_config.routes.end()) {
            co_return refused(sql::refusal::no_such_database, with.state.database, sql::transaction_state::idle);
        }
        // A copy: a newer configuration may replace it while the statement runs.
        const auto route = found->second;
        const statement_run one{route, m_gate, with.state, asked, prepared, arrival};
        co_return co_await m_engine.run_alone(pool_for(route.service), one);
    }
    const statement_run one{with.open->route, m_gate, with.state, asked, prepared, arrival};
    if (with.open->read_only && one.writes()) {
        m_engine.undo(*with.open);
        with.open->failed = true;
        co_return refused(sql::refusal::not_primary, "the transaction only reads", sql::transaction_state::failed);
    }
    auto out = co_await m_engine.run_inside(*with.open, one);
    if (asked.what.kind == sql::statement_kind::commit) {
        with.open.reset();
    }
    co_return out;
}

} // namespace cornellever::session
