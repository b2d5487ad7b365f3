#pragma once

#include <string>

#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/request_record.hpp"

namespace cornellever::proxy {

/// Serves single statements that may write, on the primary.
///
/// A write is acknowledged once a majority holds it. A request that certainly did not run is retried until the
/// caller's deadline, which hides failovers from callers. A request that may have run is answered `outcome_unknown`,
/// unless it has a request id: then it is retried under that id, which takes effect at most once.
class write_path {
public:
    using clock = std::chrono::steady_clock;

    explicit write_path(backend_connections& backends) : m_backends{backends} {}

    /// Serves a statement without a request id by `until`.
    answer serve(const execute_request& request, clock::time_point until);

    /// Serves a statement with a request id by `until`; it takes effect at most once.
    answer serve_idempotent(const execute_request& request, clock::time_point until);

    /// The outcome of `request_id` on the database: its recorded and confirmed answer, or null if it has not taken
    /// effect and no longer can, because its attempts run in transactions of their own. Errors: `outcome_unknown` if
    /// the outcome could not be learnt by `until`.
    answer outcome_of(const std::string& service, const std::string& database, const std::string& request_id,
                      session_token& token, clock::time_point until);

    /// Waits for the write at `entry` to be confirmed and advances `token`. Errors: `not_run` if the log of a later
    /// primary, followed by a majority, lacks the write; `outcome_unknown` if neither could be learnt in time.
    asio::awaitable<result<void>> acknowledge(const instance_view& primary, term_position entry, session_token& token,
                                              clock::time_point until);

    /// The record of request ids.
    [[nodiscard]] request_record& record() noexcept { return m_record; }

private:
    answer attempt_idempotent(const instance_view& primary, const execute_request& request, clock::time_point until);
    answer run_and_record(const pooled_connection& connection, const execute_request& request, clock::time_point until);
    answer answer_from_record(const instance_view& primary, request_record::outcome found, session_token token,
                              clock::time_point until);
    answer look_up(const instance_view& primary, const std::string& request_id, session_token& token,
                   clock::time_point until);

    /// Whether a write made on `replaced` is in the log of a later primary that a majority follows. Errors:
    /// `outcome_unknown` if that could not be learnt by `until`.
    asio::awaitable<result<bool>> survived_failover(const instance_view& replaced, term_position entry,
                                                    clock::time_point until);

    backend_connections& m_backends;
    request_record m_record;
};

} // namespace cornellever::proxy
