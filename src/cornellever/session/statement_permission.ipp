#pragma once

// Whether a statement may still run when its turn has come.

namespace cornellever::session {

/// The refusal of a request that may not run; nothing where it may.
template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::forbid(const statement_run& run,
                                                              const accounts::authorizer::decision& may) const {
    if (may.granted()) {
        return std::nullopt;
    }
    const auto age = run.authorizer.lease().age(boot_clock::now());
    log_decision(event::request_forbidden, run, "-",
                 std::string{accounts::to_string(may.verdict)} + " key=" + run.session.key.fingerprint() +
                     " proof_ms=" + std::to_string(to_ms(age)));
    if (may.verdict == accounts::permission::unknown_key) {
        return refused(sql::refusal::unknown_key, "the key is not known", sql::transaction_state::idle);
    }
    // Another proxy may have later word of the configuration.
    return refused_for_now("the configuration is not known to be current", std::chrono::milliseconds{0});
}

/// The last look before a statement is sent: a key may have been taken away, or
/// given to another account, while the request waited for its connection.
template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::forbid_on(const statement_run& run, const lease& held) const {
    auto may = run.permitted();
    if (may.granted() && may.account_name() != held->account) {
        may.verdict = accounts::permission::unknown_key;
    }
    return forbid(run, may);
}

/// Ends a transaction whose request may not run any more; nothing where it may.
template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::forbid_inside(transaction& inside, const statement_run& run) {
    auto forbidden = forbid_on(run, inside.pinned);
    if (!forbidden) {
        return std::nullopt;
    }
    const auto reason = forbidden->error_text();
    undo(inside);
    const bool commit = run.request.what.kind == sql::statement_kind::commit;
    inside.failed = !commit;
    return refused(sql::refusal::aborted, reason + "; nothing of the transaction is kept",
                   commit ? sql::transaction_state::idle : sql::transaction_state::failed);
}

} // namespace cornellever::session
