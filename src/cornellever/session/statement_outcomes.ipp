#pragma once

// What becomes of a statement outside a transaction after an answer, or none.

namespace cornellever::session {

/// Whether a server refuses a request as not being the primary a second time:
/// sent once more, it would go round until its caller's time is over.
template <routing::link_connector Connector>
bool statement_engine<Connector>::refused_again(routing::connection_want& want, const std::string& server) {
    return std::exchange(want.refused_by, server) == server;
}

template <routing::link_connector Connector>
typename statement_engine<Connector>::verdict
statement_engine<Connector>::judge_read(pool& backends, lease& held, const statement_run& run,
                                        routing::connection_want& want, const routing::link_reply& got,
                                        sql::reply& out) {
    auto& at = *held->home;
    const auto& id = at.server.id;
    if (!got) {
        log_decision(event::statement_retried, run, id, routing::to_string(got.error()));
        if (got.error() != routing::link_failure::not_sent && !want.primary) {
            want.avoid.push_back(id);
        }
    } else if (got->ok()) {
        ++(id == backends.primary() ? m_counters.reads_on_primary : m_counters.reads_on_replicas);
        out = *got;
        return verdict::answered;
    } else {
        const auto why = got->why();
        log_decision(event::statement_retried, run, id,
                     why == sql::refusal::behind ? describe_lag(want.floor, *got) : std::string{sql::to_string(why)});
        switch (why) {
        case sql::refusal::behind:
            want.avoid.push_back(id);
            break;
        case sql::refusal::not_primary:
            backends.note_not_primary(at);
            if (refused_again(want, id)) {
                out = refused_for_now("the primary refuses its lead", refused_lead_pause);
                return verdict::answered;
            }
            break;
        case sql::refusal::overloaded:
            if (want.primary) {
                out = refused_for_now("server busy", std::chrono::milliseconds{50});
                return verdict::answered;
            }
            want.avoid.push_back(id);
            break;
        case sql::refusal::no_such_prepared_statement:
            held->connection->close();
            break;
        case sql::refusal::failed:
        case sql::refusal::timed_out:
            if (std::ranges::find(want.avoid, id) != want.avoid.end() || want.primary) {
                out = *got;
                return verdict::answered;
            }
            want.avoid.push_back(id);
            break;
        default:
            out = *got;
            return verdict::answered;
        }
    }
    // The primary holds every commit and proves it: what no replica can serve goes there.
    if (!want.primary && want.avoid.size() + 1 >= backends.entries().size()) {
        want.primary = true;
        want.avoid.clear();
    }
    if (boot_clock::now() >= run.until()) {
        out = refused(sql::refusal::timed_out, "no answer in time", sql::transaction_state::idle);
        return verdict::answered;
    }
    return verdict::again;
}

template <routing::link_connector Connector>
typename statement_engine<Connector>::verdict
statement_engine<Connector>::judge_write(pool& backends, lease& held, const statement_run& run,
                                         routing::connection_want& want, const routing::link_reply& got,
                                         sql::reply& out) {
    auto& at = *held->home;
    const auto& id = at.server.id;
    if (!got) {
        if (got.error() == routing::link_failure::not_sent) {
            log_decision(event::statement_retried, run, id, "not_sent");
            return verdict::again;
        }
        // It may have run: running it again could make it take effect twice.
        log_decision(event::outcome_unknown, run, id, routing::to_string(got.error()));
        out = refused(sql::refusal::outcome_unknown, "no answer from " + id, sql::transaction_state::idle);
        return verdict::answered;
    }
    if (got->ok()) {
        if (got->position) {
            run.session.last_commit = got->position;
            backends.note_commit(at, held->sent_at, got->position);
        }
        out = *got;
        return verdict::answered;
    }
    const auto why = got->why();
    if (why == sql::refusal::not_primary) {
        backends.note_not_primary(at);
    }
    if (why == sql::refusal::no_such_prepared_statement) {
        held->connection->close();
    }
    if (!sql::server_did_not_run(why)) {
        log_decision(event::outcome_unknown, run, id, sql::to_string(why));
        out = refused(why == sql::refusal::malformed ? sql::refusal::outcome_unknown : why, got->error_text(),
                      sql::transaction_state::idle);
        return verdict::answered;
    }
    if (why == sql::refusal::not_primary && refused_again(want, id)) {
        out = refused_for_now("the primary refuses its lead", refused_lead_pause);
        return verdict::answered;
    }
    log_decision(event::statement_retried, run, id, sql::to_string(why));
    if (why == sql::refusal::overloaded || boot_clock::now() >= run.until()) {
        out = refused_for_now("server busy", std::chrono::milliseconds{50});
        return verdict::answered;
    }
    return verdict::again;
}

} // namespace cornellever::session
