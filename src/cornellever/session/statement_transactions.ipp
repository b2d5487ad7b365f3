#pragma once

// Statements inside transactions.

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
    auto& at = *held->server_entry;
    if (!answer) {
        backends.note_failure(at, answer.error());
        co_return false;
    }
    backends.note_reply(at, std::nullopt);
    backends.note_position(at, answer->position);
    co_return answer->ok();
}

/// Takes a connection for a transaction and opens it there.
template <routing::link_connector Connector>
asio::awaitable<bool> statement_engine<Connector>::pin(transaction& inside, const statement_run& run,
                                                       sql::reply& refusal) {
    auto& backends = *inside.backends;
    const auto may = run.permitted();
    if (auto forbidden = forbid(run, may)) {
        refusal = std::move(*forbidden);
        co_return false;
    }
    const std::string account{may.account_name()};
    const auto account_place = routing::priority_of(run.route.priority, may.account_priority());
    co_await await_sample(backends, run, !inside.read_only);
    auto want = want_of(backends, run, !inside.read_only);
    want.account = account;
    want.priority = account_place;
    for (;;) {
        auto held = co_await connection_for(backends, run, want, refusal);
        if (!held) {
            log_decision(event::request_refused, run, backends.primary(), refusal.error_text());
            co_return false;
        }
        bool opened = false;
        if (want.primary || held->primed) {
            opened = co_await arm(backends, held, run.until());
        } else {
            opened = co_await open_read_only(backends, held, want.floor, run.until());
            inside.floor = want.floor;
        }
        if (opened) {
            inside.pinned = std::move(held);
            co_return true;
        }
        if (!want.primary) {
            want.excluded_servers.push_back(held.server().id);
            want.primary = want.excluded_servers.size() + 1 >= backends.entries().size();
            if (want.primary) {
                want.excluded_servers.clear();
            }
        }
        held.release();
        ++m_counters.statements_retried;
    }
}

template <routing::link_connector Connector>
sql::reply statement_engine<Connector>::fail_inside(transaction& inside, const statement_run& run,
                                                    std::string_view reason) {
    log_decision(event::transaction_failed, run, inside.pinned ? inside.pinned.server().id : "-", reason);
    undo(inside);
    inside.failed = true;
    return refused(sql::refusal::aborted, std::string{reason} + "; nothing of the transaction is kept",
                   sql::transaction_state::failed);
}

template <routing::link_connector Connector>
sql::reply statement_engine<Connector>::finish_commit(transaction& inside, const statement_run& run,
                                                      const routing::link_reply& got) {
    auto& held = inside.pinned;
    auto& at = *held->server_entry;
    sql::reply out;
    if (got && got->ok()) {
        log_served(*inside.backends, held, run, inside.floor);
        out = *got;
        if (inside.wrote && got->position) {
            run.session.last_commit = got->position;
            inside.backends->note_commit(at, held->sent_at, got->position);
        }
    } else if (!inside.wrote || (got && sql::server_did_not_run(got->why())) ||
               (!got && got.error() == routing::link_failure::not_sent)) {
        out = refused(sql::refusal::aborted, "the commit did not run", sql::transaction_state::idle);
        log_decision(event::transaction_failed, run, at.server.id, "commit_not_run");
        held->connection->close();
    } else {
        out = refused(sql::refusal::outcome_unknown, "no answer to the commit", sql::transaction_state::idle);
        log_decision(event::outcome_unknown, run, at.server.id, "commit_unanswered");
        held->connection->close();
    }
    out.state = sql::transaction_state::idle;
    held.release();
    return out;
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> statement_engine<Connector>::run_inside(transaction& inside, const statement_run& run) {
    const bool commit = run.request.what.kind == sql::statement_kind::commit;
    const bool first = !inside.pinned;
    if (first) {
        sql::reply refusal;
        const bool pinned = co_await pin(inside, run, refusal);
        if (!pinned) {
            inside.failed = !commit;
            refusal.state = commit ? sql::transaction_state::idle : sql::transaction_state::failed;
            co_return refusal;
        }
    }
    auto& held = inside.pinned;
    held->idle_in_transaction = false;
    if (auto forbidden = forbid_inside(inside, run)) {
        co_return *forbidden;
    }
    const bool on_primary = held->primed;
    std::vector<sql::command> batch;
    for (auto& item : plan_replay(run.session, held->memory, run.prepared)) {
        batch.push_back({.what = std::move(item)});
    }
    const auto wanted = batch.size();
    batch.push_back(command_of(run));
    inside.wrote = inside.wrote || run.writes();
    if (commit) {
        held->primed = false;
        if (on_primary) {
            batch.push_back(sql::proxy_command(sql::statement_kind::begin));
        }
    }
    auto got = co_await exchange(*inside.backends, held, std::move(batch), wanted, run.until());
    if (commit) {
        co_return finish_commit(inside, run, got);
    }
    if (!got) {
        co_return fail_inside(inside, run, routing::to_string(got.error()));
    }
    if (got->error) {
        if (got->why() == sql::refusal::not_primary) {
            inside.backends->note_not_primary(*held->server_entry);
        }
        co_return fail_inside(inside, run, sql::to_string(got->why()));
    }
    log_served(*inside.backends, held, run, inside.floor);
    inside.backends->mark_idle_in_transaction(*held);
    auto out = *got;
    out.state = sql::transaction_state::open;
    co_return out;
}

template <routing::link_connector Connector>
void statement_engine<Connector>::undo(transaction& inside) {
    if (!inside.pinned) {
        return;
    }
    ++m_counters.transactions_undone;
    auto& held = inside.pinned;
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
