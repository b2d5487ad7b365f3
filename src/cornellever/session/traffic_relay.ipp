#pragma once

// Statements of sessions whose operations other proxies run.

namespace cornellever::session {

/// Between two operations a session goes where it is served best by now: to
/// those that own the connections, or round a cut path. Its caller notices
/// nothing, since all that it has set and prepared is kept here.
template <routing::link_connector Connector>
void traffic<Connector>::place_session(conversation& with) {
    if (with.relayed || !with.between_operations()) {
        return;
    }
    auto place = served_by::itself;
    if (!owns(with.state.database)) {
        place = served_by::owner;
    } else if (!ways_round(with.state.database, 0).empty()) {
        place = served_by::way_round;
    }
    if (doubted(with.elsewhere)) {
        with.elsewhere.close();
    }
    if (place == with.where) {
        return;
    }
    if (place == served_by::way_round) {
        log_event(event::session_relayed,
                  "session=" + std::to_string(with.state.id) + " database=" + with.state.database + " reason=path_cut");
    }
    with.elsewhere.close();
    with.where = place;
}

/// Whether the proxy that a session is open at has failed another session
/// since: each of them would wait for it by itself.
template <routing::link_connector Connector>
bool traffic<Connector>::doubted(const part_elsewhere& part) const {
    const auto found = m_unreached.find(part.name);
    return part.peer != nullptr && found != m_unreached.end() && found->second > part.opened_at;
}

/// The other proxies that may run a session's next operation, in the order in
/// which they are tried.
template <routing::link_connector Connector>
std::vector<proxy_node> traffic<Connector>::peers_for(const conversation& with) {
    if (with.where == served_by::way_round) {
        return ways_round(with.state.database, with.state.id);
    }
    const auto route = m_config.routes.find(with.state.database);
    if (with.where != served_by::owner || route == m_config.routes.end()) {
        return {};
    }
    auto out = relay_order(share_of(route->second.service), m_data_center, turn_of(with));
    const auto now = boot_clock::now();
    std::ranges::stable_partition(out, [&](const proxy_node& item) {
        const auto found = m_unreached.find(item.name);
        return found == m_unreached.end() || now - found->second > unreached_for;
    });
    return out;
}

/// Opens a session at one of the proxies that may run the next operation, and
/// brings it to this session's values and prepared statements.
template <routing::link_connector Connector>
asio::awaitable<bool> traffic<Connector>::reach_peer(conversation& with) {
    if (with.elsewhere.open()) {
        co_return true;
    }
    const auto to = peers_for(with);
    for (const auto& peer : std::span{to}.first(std::min(to.size(), peer_tries))) {
        const session_opening asked{.database = with.state.database,
                                    .relayed = true,
                                    .last_commit = with.state.last_commit,
                                    .key = with.state.key,
                                    .config_version = m_config.version};
        auto opened = co_await m_connector.open_relay(peer.sessions, asked, boot_clock::now() + owner_limit);
        if (opened != nullptr) {
            with.elsewhere.peer = std::move(opened);
            with.elsewhere.name = peer.name;
            with.elsewhere.opened_at = boot_clock::now();
            for (auto& item : statements_of(with.state)) {
                (void)with.elsewhere.peer->pipeline({std::string{replay_id}, std::move(item)});
            }
            co_return true;
        }
        m_unreached[peer.name] = boot_clock::now();
        log_event(event::connect_failed, "owner=" + peer.name + " database=" + with.state.database + " reason=relay");
    }
    co_return false;
}

/// Answers what needs no server; nothing for a statement that has to run.
template <routing::link_connector Connector>
std::optional<sql::reply> traffic<Connector>::note_for_peer(conversation& with, const sql::request& asked) {
    auto& part = with.elsewhere;
    const auto kind = asked.what.kind;
    if (part.state == sql::transaction_state::failed) {
        return after_failure(part, asked);
    }
    switch (kind) {
    case sql::statement_kind::set:
        with.state.values.insert_or_assign(asked.what.name, asked.what.text);
        pipeline(part, asked);
        return acknowledged(part.state);
    case sql::statement_kind::prepare:
        with.state.prepared.insert_or_assign(asked.what.name, prepared_statement{asked.what.touches, asked.what.text});
        pipeline(part, asked);
        return acknowledged(part.state);
    case sql::statement_kind::deallocate:
        if (with.state.prepared.erase(asked.what.name) == 0) {
            return refused(sql::refusal::no_such_prepared_statement, asked.what.name, part.state);
        }
        pipeline(part, asked);
        return acknowledged(part.state);
    case sql::statement_kind::begin:
    case sql::statement_kind::begin_read_only:
        if (part.state == sql::transaction_state::open) {
            return refused(sql::refusal::malformed, "a transaction is open", part.state);
        }
        if (!m_config.routes.contains(with.state.database)) {
            return refused(sql::refusal::no_such_database, with.state.database, part.state);
        }
        part.begun = asked;
        part.wrote = false;
        part.state = sql::transaction_state::open;
        ++m_counters.transactions_opened;
        return acknowledged(part.state);
    case sql::statement_kind::rollback:
        if (!std::exchange(part.begun, std::nullopt) && part.state == sql::transaction_state::open) {
            pipeline(part, asked);
        }
        part.state = sql::transaction_state::idle;
        return acknowledged(part.state);
    case sql::statement_kind::commit:
        if (part.state == sql::transaction_state::idle) {
            return refused(sql::refusal::malformed, "no transaction is open", part.state);
        }
        return std::nullopt;
    case sql::statement_kind::execute:
        if (!with.state.prepared.contains(asked.what.name)) {
            return refused(sql::refusal::no_such_prepared_statement, asked.what.name, part.state);
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

/// A failed transaction runs nothing more; ending it rolls back.
template <routing::link_connector Connector>
sql::reply traffic<Connector>::after_failure(part_elsewhere& part, const sql::request& asked) {
    const bool commit = asked.what.kind == sql::statement_kind::commit;
    if (!commit && asked.what.kind != sql::statement_kind::rollback) {
        return refused(sql::refusal::malformed, "the transaction failed", sql::transaction_state::failed);
    }
    pipeline(part, {asked.id, {.kind = sql::statement_kind::rollback}});
    part.state = sql::transaction_state::idle;
    if (commit) {
        return refused(sql::refusal::aborted, "the transaction failed", part.state);
    }
    return acknowledged(part.state);
}

/// Sends on what the caller was answered already. Where that fails, the session
/// there is given up: the next statement finds it gone.
template <routing::link_connector Connector>
void traffic<Connector>::pipeline(part_elsewhere& part, const sql::request& asked) {
    if (part.open() && !part.peer->pipeline(asked)) {
        part.peer->close();
    }
}

template <routing::link_connector Connector>
bool traffic<Connector>::writes(const conversation& with, const sql::request& asked) {
    if (asked.what.kind == sql::statement_kind::execute) {
        const auto found = with.state.prepared.find(asked.what.name);
        return found != with.state.prepared.end() && found->second.touches == sql::access::write;
    }
    return asked.what.kind == sql::statement_kind::write;
}

/// Has the peer run a statement.
template <routing::link_connector Connector>
asio::awaitable<routing::link_reply> traffic<Connector>::run_at_peer(conversation& with, const sql::request& asked,
                                                                     boot_clock::time_point until) {
    auto& part = with.elsewhere;
    if (const auto begin = std::exchange(part.begun, std::nullopt)) {
        pipeline(part, *begin);
    }
    part.wrote = part.wrote || writes(with, asked);
    const bool commit = asked.what.kind == sql::statement_kind::commit;
    auto out = co_await part.peer->run_request(asked, until);
    if (!out) {
        part.close();
        co_return out;
    }
    const bool alone = !commit && part.state == sql::transaction_state::idle;
    const bool committed = (commit && part.wrote) || (alone && writes(with, asked));
    if (committed && out->ok() && out->position) {
        with.state.last_commit = out->position;
    }
    part.state = out->state;
    co_return out;
}

/// Whether another proxy may be asked to run a statement whose peer failed to
/// answer: outside a transaction, and where it did not run or changes nothing.
template <routing::link_connector Connector>
bool traffic<Connector>::may_run_again(const conversation& with, const sql::request& asked, routing::link_failure why) {
    return with.elsewhere.state == sql::transaction_state::idle &&
           (why == routing::link_failure::not_sent || !writes(with, asked));
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::relay(conversation& with, const sql::request& asked) {
    if (auto known = note_for_peer(with, asked)) {
        co_return *known;
    }
    auto& part = with.elsewhere;
    const auto route = m_config.routes.find(with.state.database);
    const auto limit = route == m_config.routes.end() ? owner_limit : route->second.statement_timeout;
    const auto until = boot_clock::now() + limit + owner_slack;
    auto why = routing::link_failure::not_sent;
    for (std::size_t tries = 0; tries < peer_tries; ++tries) {
        // A transaction whose statements ran at a peer that is gone is lost.
        const bool lost = part.state == sql::transaction_state::open && !part.begun && !part.open();
        if (lost) {
            break;
        }
        const bool reached = co_await reach_peer(with);
        if (!reached) {
            co_return co_await run_here(with, asked);
        }
        auto out = co_await run_at_peer(with, asked, until);
        if (out) {
            co_return *out;
        }
        why = out.error();
        m_unreached[part.name] = boot_clock::now();
        if (!may_run_again(with, asked, why)) {
            break;
        }
        ++m_counters.statements_retried;
        log_event(event::statement_retried,
                  "request=" + asked.id + " database=" + with.state.database + " reason=owner_gone");
    }
    const bool commit = asked.what.kind == sql::statement_kind::commit;
    const bool changes = commit ? part.wrote : writes(with, asked);
    auto out = unanswered_by_owner(asked, part.state, changes && why != routing::link_failure::not_sent);
    const bool unknown = !out.ok() && out.why() == sql::refusal::outcome_unknown;
    log_event(unknown ? event::outcome_unknown : event::request_refused,
              "request=" + asked.id + " database=" + with.state.database +
                  " reason=owner_gone answer=" + std::string{out.ok() ? "rolled_back" : sql::to_string(out.why())});
    part.state = out.state;
    co_return out;
}

/// None of the proxies that should run an operation takes it: this one does,
/// with the connection or two that it may open.
template <routing::link_connector Connector>
asio::awaitable<sql::reply> traffic<Connector>::run_here(conversation& with, const sql::request& asked) {
    with.where = served_by::itself;
    with.elsewhere.state = sql::transaction_state::idle;
    if (const auto begun = std::exchange(with.elsewhere.begun, std::nullopt)) {
        auto opened = begin(with, begun->what.kind == sql::statement_kind::begin_read_only);
        if (!opened.ok()) {
            co_return refused(sql::refusal::aborted, opened.error_text(), sql::transaction_state::idle);
        }
    }
    co_return co_await answer(with, asked);
}

} // namespace cornellever::session
