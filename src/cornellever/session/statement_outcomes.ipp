#pragma once

// Handles the servers' replies to statements outside transactions: decides whether the caller (the connected client
// application) gets a reply or the statement is retried.

namespace cornellever::session {

/// Records that `server` refused the request. Returns whether the same server also refused the previous attempt;
/// further retries would then be refused until the statement times out.
template <routing::link_connector Connector>
bool statement_engine<Connector>::refused_twice(routing::connection_request& pool_request, const std::string& server) {
    return std::exchange(pool_request.refused_by, server) == server;
}

template <routing::link_connector Connector>
std::string_view statement_engine<Connector>::describe_repeated_refusal(sql::refusal why) {
    return why == sql::refusal::not_primary ? "the primary refuses its lead" : "the server refused the statement twice";
}

/// Returns why the server refused to set up the connection for a statement that failed and did not run. Returns nothing
/// if the connection was set up or the statement may have taken effect.
template <routing::link_connector Connector>
std::optional<sql::statement_error> statement_engine<Connector>::setup_refusal(const routing::link_reply& reply,
                                                                               bool may_take_effect) {
    if (!reply || reply->ok() || (may_take_effect && !sql::server_did_not_run(reply->why()))) {
        return std::nullopt;
    }
    return reply->setup_error;
}

template <routing::link_connector Connector>
typename statement_engine<Connector>::outcome
statement_engine<Connector>::handle_read_reply(pool& backends, lease& held, const statement_run& run,
                                               routing::connection_request& pool_request,
                                               const routing::link_reply& reply, sql::reply& out) {
    auto& backend = *held->server_entry;
    const auto& id = backend.server.id;
    if (!reply) {
        log_decision(event::statement_retried, run, id, routing::to_string(reply.error()));
        if (reply.error() != routing::link_failure::not_sent && !pool_request.primary) {
            pool_request.excluded_servers.push_back(id);
        }
    } else if (reply->ok()) {
        ++(id == backends.primary() ? m_counters.reads_on_primary : m_counters.reads_on_replicas);
        out = *reply;
        return outcome::answered;
    } else {
        const auto why = reply->why();
        log_decision(event::statement_retried, run, id,
                     why == sql::refusal::behind ? describe_lag(pool_request.floor, *reply)
                                                 : std::string{sql::to_string(why)});
        switch (why) {
        case sql::refusal::behind:
            pool_request.excluded_servers.push_back(id);
            break;
        case sql::refusal::not_primary:
        case sql::refusal::no_such_prepared_statement:
            if (why == sql::refusal::not_primary) {
                backends.note_not_primary(backend);
            } else {
                held->connection->close();
            }
            if (refused_twice(pool_request, id)) {
                if (pool_request.primary) {
                    out = refused_for_now(describe_repeated_refusal(why), not_primary_retry_after);
                    return outcome::answered;
                }
                // A server that has just been fenced may refuse a read on several connections, on which transactions
                // had been opened ahead of use. The read does not need the primary, so it goes to another server.
                pool_request.excluded_servers.push_back(id);
            }
            break;
        case sql::refusal::overloaded:
            if (pool_request.primary) {
                out = refused_for_now("server busy", std::chrono::milliseconds{50});
                return outcome::answered;
            }
            pool_request.excluded_servers.push_back(id);
            break;
        case sql::refusal::failed:
        case sql::refusal::timed_out:
            if (std::ranges::find(pool_request.excluded_servers, id) != pool_request.excluded_servers.end() ||
                pool_request.primary) {
                out = *reply;
                return outcome::answered;
            }
            pool_request.excluded_servers.push_back(id);
            break;
        default:
            out = *reply;
            return outcome::answered;
        }
    }
    // A read that no replica can serve goes to the primary, which has applied every commit and confirms that it is
    // still the primary.
    if (!pool_request.primary && pool_request.excluded_servers.size() + 1 >= backends.entries().size()) {
        pool_request.primary = true;
        pool_request.excluded_servers.clear();
    }
    if (boot_clock::now() >= run.until()) {
        out = refused(sql::refusal::timed_out, "no answer in time", sql::transaction_state::idle);
        return outcome::answered;
    }
    return outcome::retry;
}

template <routing::link_connector Connector>
typename statement_engine<Connector>::outcome
statement_engine<Connector>::handle_write_reply(pool& backends, lease& held, const statement_run& run,
                                                routing::connection_request& pool_request,
                                                const routing::link_reply& reply, sql::reply& out) {
    auto& backend = *held->server_entry;
    const auto& id = backend.server.id;
    if (!reply) {
        if (reply.error() == routing::link_failure::not_sent) {
            log_decision(event::statement_retried, run, id, "not_sent");
            return outcome::retry;
        }
        // The write may have run; a retry could make it take effect twice.
        log_decision(event::outcome_unknown, run, id, routing::to_string(reply.error()));
        out = refused(sql::refusal::outcome_unknown, "no answer from " + id, sql::transaction_state::idle);
        return outcome::answered;
    }
    if (reply->ok()) {
        if (const auto& position = reply->position) {
            run.session.last_commits.insert_or_assign(run.route.service, *position);
            backends.note_commit(backend, held->sent_at, position);
        }
        out = *reply;
        out.committed_at = run.route.service;
        return outcome::answered;
    }
    const auto why = reply->why();
    if (why == sql::refusal::not_primary) {
        backends.note_not_primary(backend);
    }
    if (why == sql::refusal::no_such_prepared_statement) {
        held->connection->close();
    }
    if (!sql::server_did_not_run(why)) {
        log_decision(event::outcome_unknown, run, id, sql::to_string(why));
        out = refused(why == sql::refusal::malformed ? sql::refusal::outcome_unknown : why, reply->error_text(),
                      sql::transaction_state::idle);
        return outcome::answered;
    }
    if (refused_twice(pool_request, id)) {
        out = refused_for_now(describe_repeated_refusal(why), not_primary_retry_after);
        return outcome::answered;
    }
    log_decision(event::statement_retried, run, id, sql::to_string(why));
    if (why == sql::refusal::overloaded || boot_clock::now() >= run.until()) {
        out = refused_for_now("server busy", std::chrono::milliseconds{50});
        return outcome::answered;
    }
    return outcome::retry;
}

} // namespace cornellever::session
