#pragma once

#include <string>

#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/request_record.hpp"

namespace cornellever::proxy {

/// Serves single statements that may write, on the primary.
///
/// A write is acknowledged once a majority holds it. What was certainly not
/// run is sent again until the caller's deadline, which carries callers over
/// a failover; what may have run is answered `outcome_unknown`, unless the
/// request has an id: then it is asked again under that id, which takes
/// effect at most once.
class write_path {
public:
    using clock = std::chrono::steady_clock;

    explicit write_path(backend_links& links) : m_links{links} {}

    /// Serves a statement without a request id by `until`.
    answer serve(const execute_request& request, clock::time_point until);

    /// Serves a statement with a request id by `until`, at most once.
    answer serve_once(const execute_request& request, clock::time_point until);

    /// What became of `request_id` on the database: its recorded answer,
    /// confirmed, or null when it has not taken effect and, having been
    /// asked for in a transaction of its own, cannot any more.
    /// Errors: `outcome_unknown` when that could not be learnt by `until`.
    answer outcome_of(const std::string& service, const std::string& database, const std::string& request_id,
                      session_token& token, clock::time_point until);

    /// Waits for a write at `mark` to be confirmed and raises `token`.
    /// Errors: `not_run` when a later primary's log lacks the write and a
    /// majority follows it; `outcome_unknown` when neither was learnt in time.
    asio::awaitable<result<void>> acknowledge(const instance_view& primary, write_mark mark, session_token& token,
                                              clock::time_point until);

    /// The record of request ids.
    [[nodiscard]] request_record& record() noexcept { return m_record; }

private:
    answer once_on(const instance_view& primary, const execute_request& request, clock::time_point until);
    answer run_and_record(const pooled_connection& link, const execute_request& request, clock::time_point until);
    answer repeated(const instance_view& primary, request_record::outcome found, session_token token,
                    clock::time_point until);
    answer look_up(const instance_view& primary, const std::string& request_id, session_token& token,
                   clock::time_point until);

    /// Whether a write of `replaced` is in the log of a later primary that a
    /// majority follows. Errors: `outcome_unknown` when that was not learnt by `until`.
    asio::awaitable<result<bool>> outlived(const instance_view& replaced, write_mark mark, clock::time_point until);

    backend_links& m_links;
    request_record m_record;
};

} // namespace cornellever::proxy
