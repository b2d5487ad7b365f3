#pragma once

// Statements in transactions.

namespace cornellever::session {

template <routing::link_connector Connector>
asio::awaitable<bool> statement_engine<Connector>::open_read_only(pool& backends, lease& held,
                                                                  const std::optional<sql::log_position>& floor,
                                                                  time_point until) {
    std::vector<sql::command> batch;
    batch.push_back(sql::proxy_command(sql::statement_kind::begin_read_only));
    batch.back().after = floor;
    held->sent_at = boot_clock::now();
    auto answer = co_await held->connection->exchange(std::move(batch), 0, until);
    auto& backend = *held->server_entry;
    if (!answer) {
        backends.note_failure(backend, answer.error());
        co_return false;
    }
    backends.note_reply(backend, std::nullopt);
    backends.note_position(backend, answer->position, held->sent_at);
    co_return answer->ok();
}

/// Acquires a connection for a transaction, opens the transaction on the connection and reserves (pins) the connection
/// for it. Returns false and sets `refusal` to the reply if that fails.
template <routing::link_connector Connector>
asio::awaitable<bool> statement_engine<Connector>::pin(transaction& tx, const statement_run& run, sql::reply& refusal) {
    auto& backends = *tx.backends;
    const auto permission = run.permitted();
    if (auto forbidden = permission_refusal(run, permission)) {
        refusal = std::move(*forbidden);
        co_return false;
    }
    const std::string account{permission.account_name()};
    const auto priority = routing::priority_of(run.route.priority, permission.account_priority());
    co_await await_sample(backends, run, !tx.read_only);
    auto pool_request = pool_request_for(backends, run, !tx.read_only);
    pool_request.account = account;
    pool_request.priority = priority;
    for (;;) {
        auto held = co_await acquire_connection(backends, run, pool_request, refusal);
        if (!held) {
            count_refused(run);
            log_decision(event::request_refused, run, backends.primary(), refusal.error_text());
            co_return false;
        }
        bool opened = false;
        if (pool_request.primary || held->primed) {
            opened = co_await prime_connection(backends, held, run.until());
        } else {
            opened = co_await open_read_only(backends, held, pool_request.floor, run.until());
            tx.floor = pool_request.floor;
        }
        if (opened) {
            tx.pinned = std::move(held);
            co_return true;
        }
        if (!pool_request.primary) {
            pool_request.excluded_servers.push_back(held.server().id);
            pool_request.primary = pool_request.excluded_servers.size() + 1 >= backends.entries().size();
            if (pool_request.primary) {
                pool_request.excluded_servers.clear();
            }
        }
        held.release();
        ++m_counters.statements_retried;
    }
}

template <routing::link_connector Connector>
sql::reply statement_engine<Connector>::fail_transaction(transaction& tx, const statement_run& run,
                                                         std::string_view reason) {
    log_decision(event::transaction_failed, run, tx.pinned ? tx.pinned.server().id : "-", reason);
    roll_back_transaction(tx);
    tx.failed = true;
    return refused(sql::refusal::aborted, std::string{reason} + "; nothing of the transaction is kept",
                   sql::transaction_state::failed);
}

template <routing::link_connector Connector>
sql::reply statement_engine<Connector>::finish_commit(transaction& tx, const statement_run& run,
                                                      const routing::link_reply& reply) {
    auto& held = tx.pinned;
    auto& backend = *held->server_entry;
    sql::reply out;
    // A transaction in which a SET before the COMMIT fails is rolled back at its end.
    const bool rolled_back = reply && !reply->ok() && reply->setup_error;
    if (reply && reply->ok() && !reply->setup_error) {
        log_served(*tx.backends, held, run, tx.floor);
        out = *reply;
        if (const auto& position = reply->position; tx.wrote && position) {
            run.session.last_commits.insert_or_assign(run.route.service, *position);
            out.committed_at = run.route.service;
            tx.backends->note_commit(backend, held->sent_at, position);
        }
    } else if (!tx.wrote || rolled_back || (reply && sql::server_did_not_run(reply->why())) ||
               (!reply && reply.error() == routing::link_failure::not_sent)) {
        out = refused(sql::refusal::aborted, "the commit did not run", sql::transaction_state::idle);
        log_decision(event::transaction_failed, run, backend.server.id, "commit_not_run");
        held->connection->close();
    } else {
        out = refused(sql::refusal::outcome_unknown, "no answer to the commit", sql::transaction_state::idle);
        log_decision(event::outcome_unknown, run, backend.server.id, "commit_unanswered");
        held->connection->close();
    }
    out.state = sql::transaction_state::idle;
    held.release();
    return out;
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> statement_engine<Connector>::run_in_transaction(transaction& tx, const statement_run& run) {
    const bool commit = run.request.what.kind == sql::statement_kind::commit;
    const bool first = !tx.pinned;
    if (first) {
        sql::reply refusal;
        const bool pinned = co_await pin(tx, run, refusal);
        if (!pinned) {
            tx.failed = !commit;
            refusal.state = commit ? sql::transaction_state::idle : sql::transaction_state::failed;
            co_return refusal;
        }
    }
    auto& held = tx.pinned;
    held->idle_in_transaction = false;
    if (auto forbidden = abort_unpermitted(tx, run)) {
        co_return *forbidden;
    }
    const bool on_primary = held->primed;
    std::vector<sql::command> batch;
    for (auto& item : plan_replay(run.session, held->memory, run.prepared)) {
        batch.push_back({.what = std::move(item)});
    }
    const auto reply_index = batch.size();
    batch.push_back(command_of(run, held->memory));
    tx.wrote = tx.wrote || run.writes();
    if (commit) {
        held->primed = false;
        if (on_primary) {
            batch.push_back(sql::proxy_command(sql::statement_kind::begin));
        }
    }
    auto reply = co_await exchange(*tx.backends, held, std::move(batch), reply_index, run.until());
    if (commit) {
        co_return finish_commit(tx, run, reply);
    }
    if (!reply) {
        co_return fail_transaction(tx, run, routing::to_string(reply.error()));
    }
    if (auto refusal = setup_refusal(reply, false)) {
        reply->error = std::move(refusal);
    }
    if (reply->error) {
        if (reply->why() == sql::refusal::not_primary) {
            tx.backends->note_not_primary(*held->server_entry);
            if (first && !std::exchange(tx.repeated, true)) {
                // Nothing of the transaction has run. The primary was replaced after the connection had been primed, so
                // the statement waits for the new primary.
                roll_back_transaction(tx);
                tx.wrote = false;
                co_return co_await run_in_transaction(tx, run);
            }
        }
        co_return fail_transaction(tx, run, sql::to_string(reply->why()));
    }
    log_served(*tx.backends, held, run, tx.floor);
    tx.backends->mark_idle_in_transaction(*held);
    auto out = *reply;
    out.state = sql::transaction_state::open;
    co_return out;
}

template <routing::link_connector Connector>
void statement_engine<Connector>::roll_back_transaction(transaction& tx) {
    if (!tx.pinned) {
        return;
    }
    ++m_counters.transactions_rolled_back;
    auto& held = tx.pinned;
    std::vector<sql::command> batch;
    batch.push_back(sql::proxy_command(sql::statement_kind::rollback));
    if (std::exchange(held->primed, false)) {
        batch.push_back(sql::proxy_command(sql::statement_kind::begin));
    }
    held->sent_at = boot_clock::now();
    if (!held->connection->post(batch)) {
        held->connection->close();
    }
    held.release();
}

} // namespace cornellever::session
