#pragma once

// Client accounts of sessions: API keys, permissions and rate limits.

namespace cornellever::session {

/// Waits up to `max_version_wait` for a configuration of at least `version`. The proxy that relays a session may have
/// learned of the caller's key earlier than this proxy.
template <routing::link_connector Connector>
asio::awaitable<void> traffic<Connector>::await_version(std::uint64_t version) {
    const auto until = boot_clock::now() + max_version_wait;
    while (m_config.version < version && boot_clock::now() < until) {
        co_await sleep_for(std::chrono::milliseconds{20});
    }
}

/// Returns the error if the session can't be opened, and sets `reason` to the cause for the log. Returns nothing if the
/// session can be opened.
template <routing::link_connector Connector>
std::optional<sql::statement_error> traffic<Connector>::opening_refusal(const session_opening& opening,
                                                                        std::string& reason) const {
    const auto route = m_config.routes.find(opening.database);
    if (route == m_config.routes.end()) {
        const auto why = has_configuration() ? sql::refusal::no_such_database : sql::refusal::overloaded;
        reason = sql::to_string(why);
        return sql::statement_error{why, printable_word(opening.database)};
    }
    const auto permission = m_authorizer.authorize(route->second.keyless, opening.key, boot_clock::now());
    if (permission.verdict == accounts::permission::unknown_key) {
        reason = to_string(permission.verdict);
        return sql::statement_error{sql::refusal::unknown_key, "the key is not known"};
    }
    // The session is refused because the relaying proxy can try another peer, although that peer's configuration need
    // not be any more current.
    if (opening.relayed && !permission.granted()) {
        reason = to_string(permission.verdict);
        return sql::statement_error{sql::refusal::overloaded, "the configuration is not known to be current"};
    }
    if (opening.relayed && !detour_peers(opening.database, 0).empty()) {
        reason = "path_cut";
        return sql::statement_error{sql::refusal::overloaded, "the primary is out of reach"};
    }
    return std::nullopt;
}

/// Refuses a session that can't be opened and closes the caller's connection. Returns whether the session was refused.
template <routing::link_connector Connector>
bool traffic<Connector>::refuse_opening(const session_opening& opening, auto& caller) {
    std::string reason;
    const auto refusal = opening_refusal(opening, reason);
    if (!refusal) {
        return false;
    }
    caller.refuse(*refusal);
    log_event(event::session_refused, "database=" + printable_word(opening.database) + " reason=" + reason + " key=" +
                                          opening.key.fingerprint() + " relayed=" + (opening.relayed ? "1" : "0") +
                                          " config=" + std::to_string(m_config.version));
    caller.close();
    return true;
}

/// If the session's key no longer belongs to an account, ends the session's open transaction at this proxy or at the
/// peer and returns the reply. Returns nothing otherwise.
template <routing::link_connector Connector>
std::optional<sql::reply> traffic<Connector>::refuse_revoked_key(active_session& active, const sql::request& request) {
    const auto route = m_config.routes.find(active.state.database);
    if (route == m_config.routes.end()) {
        return std::nullopt;
    }
    const auto permission = m_authorizer.authorize(route->second.keyless, active.state.key, boot_clock::now());
    if (permission.verdict != accounts::permission::unknown_key) {
        return std::nullopt;
    }
    log_event(event::request_forbidden, "request=" + printable_word(request.id) +
                                            " database=" + printable_word(active.state.database) +
                                            " reason=unknown_key key=" + active.state.key.fingerprint() +
                                            " config=" + std::to_string(m_config.version));
    const bool inside = !active.outside_transaction();
    if (active.open_transaction) {
        m_engine.roll_back_transaction(*active.open_transaction);
        active.open_transaction.reset();
    }
    active.at_peer.close();
    active.at_peer.state = sql::transaction_state::idle;
    return refused(inside ? sql::refusal::aborted : sql::refusal::unknown_key, "the key is not known any more",
                   sql::transaction_state::idle);
}

/// Whether a request starts an operation, the unit of rate limits. An operation is a statement outside a transaction or
/// a whole transaction; a transaction can be refused only at its start.
template <routing::link_connector Connector>
bool traffic<Connector>::starts_operation(const active_session& active, const sql::request& request) {
    if (active.relayed || !active.outside_transaction()) {
        return false;
    }
    switch (request.what.kind) {
    case sql::statement_kind::begin:
    case sql::statement_kind::begin_read_only:
    case sql::statement_kind::read:
    case sql::statement_kind::write:
    case sql::statement_kind::execute:
        return true;
    default:
        return false;
    }
}

/// Returns the error reply if the operation exceeds its account's rate limit, and nothing otherwise. The limit is
/// checked before the operation waits for a connection or is relayed, so that excess load of one account does not
/// affect others.
template <routing::link_connector Connector>
asio::awaitable<std::optional<sql::reply>> traffic<Connector>::refuse_over_limit(active_session& active,
                                                                                 const sql::request& request) {
    const auto route = m_config.routes.find(active.state.database);
    if (!m_limits.admit || route == m_config.routes.end()) {
        co_return std::nullopt;
    }
    const auto permission = m_authorizer.authorize(route->second.keyless, active.state.key, boot_clock::now());
    if (permission.matched_account == nullptr || !permission.matched_account->limit) {
        co_return std::nullopt;
    }
    const auto account = permission.matched_account->name;
    const auto admission = co_await m_limits.admit(account, *permission.matched_account->limit);
    if (admission.outcome == limits::admission_result::kind::granted) {
        co_return std::nullopt;
    }
    const bool used_up = admission.outcome == limits::admission_result::kind::used_up;
    ++(used_up ? m_counters.over_limit_refusals : m_counters.unknown_limit_refusals);
    log_event(event::limit_refused,
              "request=" + printable_word(request.id) + " database=" + printable_word(active.state.database) +
                  " account=" + account + " reason=" + (used_up ? "used_up" : "no_coordinator") +
                  " asked=" + std::to_string(admission.asked) + " wait_ms=" + std::to_string(admission.wait.count()));
    co_return refused_for_now(used_up ? "the account's limit is used up" : "the account's limit is not known",
                              admission.wait);
}

/// Returns the number by which sessions are spread over the connection owners (the proxies that hold connections to a
/// service's servers). The number is the same for all sessions of an account, so that the account's connections are
/// concentrated at few owners and an idle connection more often belongs to the account that needs one.
template <routing::link_connector Connector>
std::uint64_t traffic<Connector>::spreading_key(const active_session& active) const {
    const auto* account = m_authorizer.accounts().find_by_key(active.state.key);
    return account == nullptr ? active.state.id : stable_hash({account->name});
}

} // namespace cornellever::session
