#pragma once

#include <string>

#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/request_record.hpp"

namespace cornellever::proxy {

/// Serves single statements that may write, on the primary.
///
/// A write is acknowledged once a majority of the database's instances hold it. A request that certainly did not run is
/// retried until the deadline set by the caller (the client application), which hides failovers from callers. If a
/// request may have run, the response is `outcome_unknown`, unless the request has an id: then the proxy retries it
/// with that id, and it takes effect at most once.
class write_path {
public:
    using clock = std::chrono::steady_clock;

    explicit write_path(backend_connections& backends) : m_backends{backends} {}

    /// Serves a statement without a request id; `until` is the deadline.
    answer serve(const execute_request& request, clock::time_point until);

    /// Serves a statement with a request id, which takes effect at most once; `until` is the deadline.
    answer serve_idempotent(const execute_request& request, clock::time_point until);

    /// Returns the recorded response of `request_id`, once a majority holds the record. Returns null if no earlier
    /// attempt at the request has taken effect or still can: each attempt runs in a transaction of its own, and opening
    /// the look-up's transaction waits for the primary's write lock, so the attempts have ended. Errors:
    /// `outcome_unknown` if the outcome could not be determined by `until`.
    answer outcome_of(const std::string& service, const std::string& database, const std::string& request_id,
                      session_token& token, clock::time_point until);

    /// Waits until the write at `entry` is held by a majority and then advances `token`. If `primary` is replaced
    /// meanwhile, looks for the write in the new primary's log. Errors: `not_run` if the log of a later primary,
    /// followed by a majority, does not contain the write; `outcome_unknown` if neither could be determined in time.
    asio::awaitable<result<void>> acknowledge(const instance_view& primary, term_position entry, session_token& token,
                                              clock::time_point until);

    /// Returns the record of request ids.
    [[nodiscard]] request_record& record() noexcept { return m_record; }

private:
    answer attempt_idempotent(const instance_view& primary, const execute_request& request, clock::time_point until);
    answer run_and_record(const pooled_connection& connection, const execute_request& request, clock::time_point until);
    answer answer_from_record(const instance_view& primary, request_record::outcome found, session_token token,
                              clock::time_point until);
    answer look_up(const instance_view& primary, const std::string& request_id, session_token& token,
                   clock::time_point until);

    /// Whether a write made on `replaced` is in the log of a later primary that a majority follows. Errors:
    /// `outcome_unknown` if that could not be determined by `until`.
    asio::awaitable<result<bool>> survived_failover(const instance_view& replaced, term_position entry,
                                                    clock::time_point until);

    backend_connections& m_backends;
    request_record m_record;
};

} // namespace cornellever::proxy
