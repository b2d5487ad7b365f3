#pragma once

// Permission checks of statements.

namespace cornellever::session {

/// Returns the error reply if the request is not permitted, and nothing if it is permitted.
template <routing::link_connector Connector>
std::optional<sql::reply>
statement_engine<Connector>::permission_refusal(const statement_run& run,
                                                const accounts::authorizer::decision& permission) const {
    if (permission.granted()) {
        return std::nullopt;
    }
    const auto age = run.authorizer.lease().age(boot_clock::now());
    log_decision(event::request_forbidden, run, "-",
                 std::string{accounts::to_string(permission.verdict)} + " key=" + run.session.key.fingerprint() +
                     " proof_ms=" + std::to_string(to_ms(age)));
    if (permission.verdict == accounts::permission::unknown_key) {
        return refused(sql::refusal::unknown_key, "the key is not known", sql::transaction_state::idle);
    }
    // The retry delay is 0 because another proxy may have a configuration that is confirmed to be current.
    return refused_for_now("the configuration is not known to be current", std::chrono::milliseconds{0});
}

/// Checks the permission again right before a statement is sent, because the key may have been revoked or assigned to
/// another account while the request waited for its connection. Returns the error reply if the request is not
/// permitted, and nothing if it is permitted.
template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::permission_refusal_at_send(const statement_run& run,
                                                                                  const lease& held) const {
    auto permission = run.permitted();
    if (permission.granted() && permission.account_name() != held->account) {
        permission.verdict = accounts::permission::unknown_key;
    }
    return permission_refusal(run, permission);
}

/// Rolls back the transaction and returns the error reply if the request is no longer permitted. Returns nothing if the
/// request is permitted.
template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::abort_unpermitted(transaction& tx, const statement_run& run) {
    auto forbidden = permission_refusal_at_send(run, tx.pinned);
    if (!forbidden) {
        return std::nullopt;
    }
    const auto reason = forbidden->error_text();
    roll_back_transaction(tx);
    const bool commit = run.request.what.kind == sql::statement_kind::commit;
    tx.failed = !commit;
    return refused(sql::refusal::aborted, reason + "; nothing of the transaction is kept",
                   commit ? sql::transaction_state::idle : sql::transaction_state::failed);
}

} // namespace cornellever::session
