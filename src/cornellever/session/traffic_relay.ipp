#pragma once

// Sessions whose operations are executed by other proxies (peers).

namespace cornellever::session {

/// Chooses the proxy that executes the session's next operation: a connection owner (a proxy that holds connections to
/// the service's servers), a peer that reaches the primary, or this proxy. The caller (the connected client
/// application) does not notice a change, since this proxy keeps the session's values and prepared statements.
template <routing::link_connector Connector>
void traffic<Connector>::choose_site(active_session& active) {
    if (active.relayed || !active.outside_transaction()) {
        return;
    }
    auto site = execution_site::local;
    if (!owns(active.state.database)) {
        site = execution_site::connection_owner;
    } else if (!detour_peers(active.state.database, 0).empty()) {
        site = execution_site::detour;
    }
    if (peer_suspected(active.at_peer) || (site == execution_site::connection_owner && leaves_owner(active))) {
        active.at_peer.close();
    }
    if (site == active.site) {
        return;
    }
    if (site == execution_site::detour) {
        log_event(event::session_relayed, "session=" + std::to_string(active.state.id) + " database=" +
                                              printable_word(active.state.database) + " reason=path_cut");
    }
    active.at_peer.close();
    active.site = site;
}

/// Whether the peer has refused or lost another session since this session was opened at the peer. Without this check,
/// every session at a failed peer would have to wait for its own timeout.
template <routing::link_connector Connector>
bool traffic<Connector>::peer_suspected(const peer_session& at_peer) const {
    const auto found = m_peer_failures.find(at_peer.peer_name);
    return at_peer.session != nullptr && found != m_peer_failures.end() && found->second > at_peer.opened_at;
}

/// Returns the peers that may execute the session's next operation, in the order in which they are tried.
template <routing::link_connector Connector>
std::vector<proxy_node> traffic<Connector>::candidate_peers(active_session& active) {
    if (active.site == execution_site::detour) {
        return detour_peers(active.state.database, active.state.id);
    }
    const auto route = m_config.routes.find(active.state.database);
    if (active.site != execution_site::connection_owner || route == m_config.routes.end()) {
        return {};
    }
    auto out = owners_in_order(active, route->second.service);
    auto first = std::exchange(active.at_peer.preferred_owner, {});
    if (first.empty() && !out.empty()) {
        const auto* better = find_better_owner(active, route->second, out, out.front().name);
        first = better == nullptr ? "" : better->name;
    }
    std::ranges::stable_partition(out, [&](const proxy_node& item) { return item.name == first; });
    return out;
}

/// Opens a session at one of the candidate peers, unless a session is already open at a peer, and replays the values
/// and prepared statements in the new session. Returns false if no attempt succeeded, or if there are too many of them
/// to be replayed and followed by a BEGIN.
template <routing::link_connector Connector>
asio::awaitable<bool> traffic<Connector>::open_at_peer(active_session& active) {
    if (active.at_peer.open()) {
        co_return true;
    }
    const auto replayed = replay_statements(active.state);
    if (replayed.size() >= Connector::relay::max_pending) {
        log_event(event::connect_failed, "database=" + printable_word(active.state.database) +
                                             " reason=session_too_large statements=" + std::to_string(replayed.size()));
        co_return false;
    }
    const auto to = candidate_peers(active);
    for (const auto& peer : std::span{to}.first(std::min(to.size(), max_peer_attempts))) {
        const session_opening opening{.database = active.state.database,
                                      .relayed = true,
                                      .last_commit = active.state.last_commit_at(active.at_peer.service),
                                      .last_commits = active.state.last_commits,
                                      .names_services = true,
                                      .key = active.state.key,
                                      .config_version = m_config.version};
        auto opened = co_await m_connector.open_relay(peer.sessions, opening, boot_clock::now() + peer_connect_timeout);
        if (opened != nullptr) {
            active.at_peer.session = std::move(opened);
            active.at_peer.peer_name = peer.name;
            active.at_peer.opened_at = boot_clock::now();
            for (const auto& item : replayed) {
                pipeline(active.at_peer, {std::string{replay_request_id}, item});
            }
            co_return true;
        }
        m_peer_failures[peer.name] = boot_clock::now();
        log_event(event::connect_failed,
                  "owner=" + peer.name + " database=" + printable_word(active.state.database) + " reason=relay");
    }
    co_return false;
}

/// Answers a request that needs no backend server and pipelines it to the peer if the peer has to apply it too. Returns
/// nothing for a statement that the peer has to execute.
template <routing::link_connector Connector>
std::optional<sql::reply> traffic<Connector>::answer_locally(active_session& active, const sql::request& request) {
    auto& at_peer = active.at_peer;
    const auto kind = request.what.kind;
    if (at_peer.state == sql::transaction_state::failed) {
        return answer_after_failure(at_peer, request);
    }
    switch (kind) {
    case sql::statement_kind::set:
    case sql::statement_kind::prepare:
    case sql::statement_kind::deallocate: {
        auto out = update_session(active, request.what);
        if (out.ok()) {
            pipeline(at_peer, request);
        }
        return out;
    }
    case sql::statement_kind::begin:
    case sql::statement_kind::begin_read_only:
        if (at_peer.state == sql::transaction_state::open) {
            return refused(sql::refusal::malformed, "a transaction is open", at_peer.state);
        }
        if (!m_config.routes.contains(active.state.database)) {
            return refused(sql::refusal::no_such_database, printable_word(active.state.database), at_peer.state);
        }
        at_peer.deferred_begin = request;
        at_peer.wrote = false;
        at_peer.state = sql::transaction_state::open;
        ++m_counters.transactions_opened;
        return acknowledged(at_peer.state);
    case sql::statement_kind::rollback:
        if (!std::exchange(at_peer.deferred_begin, std::nullopt) && at_peer.state == sql::transaction_state::open) {
            pipeline(at_peer, request);
        }
        at_peer.state = sql::transaction_state::idle;
        return acknowledged(at_peer.state);
    case sql::statement_kind::commit:
        if (at_peer.state == sql::transaction_state::idle) {
            return refused(sql::refusal::malformed, "no transaction is open", at_peer.state);
        }
        return std::nullopt;
    case sql::statement_kind::execute:
        if (!active.state.prepared.contains(request.what.name)) {
            return refused(sql::refusal::no_such_prepared_statement, printable_word(request.what.name), at_peer.state);
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

/// Answers a request in a failed transaction: COMMIT and ROLLBACK end the transaction with a rollback, and all other
/// requests are refused.
template <routing::link_connector Connector>
sql::reply traffic<Connector>::answer_after_failure(peer_session& at_peer, const sql::request& request) {
    const bool commit = request.what.kind == sql::statement_kind::commit;
    if (!commit && request.what.kind != sql::statement_kind::rollback) {
        return refused(sql::refusal::malformed, "the transaction failed", sql::transaction_state::failed);
    }
    pipeline(at_peer, {request.id, {.kind = sql::statement_kind::rollback}});
    at_peer.state = sql::transaction_state::idle;
    if (commit) {
        return refused(sql::refusal::aborted, "the transaction failed", at_peer.state);
    }
    return acknowledged(at_peer.state);
}

/// Sends the peer a request that this proxy has already answered. If sending fails, closes the session at the peer; the
/// next statement detects that the session is closed.
template <routing::link_connector Connector>
void traffic<Connector>::pipeline(peer_session& at_peer, const sql::request& request) {
    if (at_peer.open() && !at_peer.session->pipeline(request)) {
        at_peer.session->close();
    }
}

template <routing::link_connector Connector>
bool traffic<Connector>::writes(const active_session& active, const sql::request& request) {
    if (request.what.kind == sql::statement_kind::execute) {
        const auto found = active.state.prepared.find(request.what.name);
        return found != active.state.prepared.end() && found->second.access_mode == sql::access::write;
    }
    return request.what.kind == sql::statement_kind::write;
}

/// Executes a statement at the peer.
template <routing::link_connector Connector>
asio::awaitable<routing::link_reply>
traffic<Connector>::execute_at_peer(active_session& active, const sql::request& request, boot_clock::time_point until) {
    auto& at_peer = active.at_peer;
    if (const auto begin = std::exchange(at_peer.deferred_begin, std::nullopt)) {
        pipeline(at_peer, *begin);
    }
    at_peer.wrote = at_peer.wrote || writes(active, request);
    const bool commit = request.what.kind == sql::statement_kind::commit;
    auto out = co_await at_peer.session->run_request(request, until);
    if (!out) {
        at_peer.close();
        co_return out;
    }
    const bool alone = !commit && at_peer.state == sql::transaction_state::idle;
    const bool committed = (commit && at_peer.wrote) || (alone && writes(active, request));
    if (const auto& position = out->position; committed && out->ok() && position) {
        const auto& service = out->committed_at.empty() ? at_peer.service : out->committed_at;
        active.state.last_commits.insert_or_assign(service, *position);
    }
    at_peer.state = out->state;
    co_return out;
}

/// Whether a statement whose peer failed may be retried at another peer. This is the case outside a transaction if the
/// statement did not run or is not a write.
template <routing::link_connector Connector>
bool traffic<Connector>::may_retry(const active_session& active, const sql::request& request,
                                   routing::link_failure why) {
    return active.at_peer.state == sql::transaction_state::idle &&
           (why == routing::link_failure::not_sent || !writes(active, request));
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::relay(active_session& active, const sql::request& request) {
    if (auto known = answer_locally(active, request)) {
        co_return *known;
    }
    auto& at_peer = active.at_peer;
    const auto route = m_config.routes.find(active.state.database);
    const auto limit = route == m_config.routes.end() ? peer_connect_timeout : route->second.statement_timeout;
    const auto until = boot_clock::now() + limit + peer_reply_slack;
    const bool begins = at_peer.state == sql::transaction_state::idle || at_peer.deferred_begin;
    if (route != m_config.routes.end() && begins) {
        at_peer.service = route->second.service;
    }
    auto why = routing::link_failure::not_sent;
    for (std::size_t tries = 0; tries < max_peer_attempts; ++tries) {
        // The session at the peer is closed, so the statements of this transaction are lost.
        const bool lost = at_peer.state == sql::transaction_state::open && !at_peer.deferred_begin && !at_peer.open();
        if (lost) {
            break;
        }
        const bool reached = co_await open_at_peer(active);
        if (!reached) {
            co_return co_await execute_locally(active, request);
        }
        const auto sent_at = boot_clock::now();
        auto out = co_await execute_at_peer(active, request, until);
        if (out) {
            note_relayed(active, *out, sent_at);
            co_return *out;
        }
        why = out.error();
        m_peer_failures[at_peer.peer_name] = boot_clock::now();
        if (!may_retry(active, request, why)) {
            break;
        }
        ++m_counters.statements_retried;
        log_event(event::statement_retried, "request=" + printable_word(request.id) + " database=" +
                                                printable_word(active.state.database) + " reason=owner_gone");
    }
    const bool commit = request.what.kind == sql::statement_kind::commit;
    const bool changes = commit ? at_peer.wrote : writes(active, request);
    auto out = reply_after_peer_loss(request, at_peer.state, changes && why != routing::link_failure::not_sent);
    const bool unknown = !out.ok() && out.why() == sql::refusal::outcome_unknown;
    log_event(unknown ? event::outcome_unknown : event::request_refused,
              "request=" + printable_word(request.id) + " database=" + printable_word(active.state.database) +
                  " reason=owner_gone answer=" + std::string{out.ok() ? "rolled_back" : sql::to_string(out.why())});
    at_peer.state = out.state;
    co_return out;
}

/// Executes an operation at this proxy because no candidate peer is reachable. The operation uses the connection or two
/// to each server that this proxy may open.
template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::execute_locally(active_session& active, const sql::request& request) {
    active.site = execution_site::local;
    active.at_peer.state = sql::transaction_state::idle;
    if (const auto deferred_begin = std::exchange(active.at_peer.deferred_begin, std::nullopt)) {
        auto opened = begin(active, deferred_begin->what.kind == sql::statement_kind::begin_read_only);
        if (!opened.ok()) {
            co_return refused(sql::refusal::aborted, opened.error_text(), sql::transaction_state::idle);
        }
    }
    co_return co_await answer(active, request);
}

} // namespace cornellever::session
