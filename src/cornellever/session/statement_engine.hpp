#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/accounts/authorizer.hpp"
#include "cornellever/core/printable_word.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/routing/admission.hpp"
#include "cornellever/routing/service_pool.hpp"
#include "cornellever/session/replies.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/session/traffic_counters.hpp"

namespace cornellever::session {

/// A statement to execute, with the session that sent it and the route of the session's database.
struct statement_run {
    const routing::database_route& route;
    /// Determines the request's client account and whether the request is permitted.
    const accounts::authorizer& authorizer;
    session_state& session;
    const sql::request& request;
    /// The prepared statement that an `execute` request names; null for other requests.
    const prepared_statement* prepared{nullptr};
    /// When the request was received.
    boot_clock::time_point arrival;

    [[nodiscard]] bool writes() const noexcept {
        return request.what.kind == sql::statement_kind::write ||
               (prepared != nullptr && prepared->access_mode == sql::access::write);
    }
    /// The statement's deadline.
    [[nodiscard]] boot_clock::time_point until() const { return arrival + route.statement_timeout; }
    [[nodiscard]] accounts::authorizer::decision permitted() const {
        return authorizer.authorize(route.keyless, session.key, boot_clock::now());
    }
};

/// Executes statements on backend servers, either in autocommit mode or in a transaction that is pinned to one
/// connection. Retries a statement on another server only if that is safe, which is the case for reads and for writes
/// that certainly did not run.
template <routing::link_connector Connector>
class statement_engine {
public:
    using pool = routing::service_pool<Connector>;
    using lease = typename pool::lease;
    using entry = typename pool::entry;
    using time_point = boot_clock::time_point;

    /// A transaction of a caller (a connected client application). A backend connection is acquired for the
    /// transaction's first statement and stays reserved for the transaction (pinned) until the transaction ends.
    struct transaction {
        routing::database_route route;
        pool* backends{nullptr};
        bool read_only{false};
        /// The floor of the transaction: the log position that a replica must have applied to run it. Empty if the
        /// transaction runs on the primary.
        std::optional<sql::log_position> floor{};
        bool wrote{false};
        /// True if the transaction was rolled back. Its statements are refused until the caller ends the transaction.
        bool failed{false};
        /// True if the first statement was repeated because its server was no longer the primary.
        bool repeated{false};
        lease pinned{};
    };

    explicit statement_engine(traffic_counters& counters) : m_counters{counters} {}

    /// Executes one statement outside a transaction.
    asio::awaitable<sql::reply> run_autocommit(pool& backends, const statement_run& run);

    /// Executes a statement inside a transaction, or the transaction's commit.
    asio::awaitable<sql::reply> run_in_transaction(transaction& tx, const statement_run& run);

    /// Rolls the transaction back and returns its connection to the pool.
    void roll_back_transaction(transaction& tx);

private:
    /// Whether the request has a final reply (`answered`) or is executed again (`retry`).
    enum class outcome { answered, retry };

    [[nodiscard]] static routing::time_limits time_limits_of(const statement_run& run);
    asio::awaitable<void> await_sample(pool& backends, const statement_run& run, bool needs_primary);
    [[nodiscard]] std::optional<sql::reply> permission_refusal(const statement_run& run,
                                                               const accounts::authorizer::decision& permission) const;
    [[nodiscard]] std::optional<sql::reply> permission_refusal_at_send(const statement_run& run,
                                                                       const lease& held) const;
    [[nodiscard]] std::optional<sql::reply> admit(pool& backends, const statement_run& run,
                                                  routing::connection_request& pool_request);
    asio::awaitable<lease> acquire_connection(pool& backends, const statement_run& run,
                                              routing::connection_request& pool_request, sql::reply& refusal);
    asio::awaitable<bool> prime_connection(pool& backends, lease& held, time_point until);
    [[nodiscard]] std::vector<sql::command> build_batch(lease& held, const statement_run& run,
                                                        const std::optional<sql::log_position>& floor,
                                                        std::size_t& reply_index) const;
    asio::awaitable<routing::link_reply> exchange(pool& backends, lease& held, std::vector<sql::command> batch,
                                                  std::size_t reply_index, time_point until);
    outcome handle_read_reply(pool& backends, lease& held, const statement_run& run,
                              routing::connection_request& pool_request, const routing::link_reply& reply,
                              sql::reply& out);
    outcome handle_write_reply(pool& backends, lease& held, const statement_run& run,
                               routing::connection_request& pool_request, const routing::link_reply& reply,
                               sql::reply& out);
    [[nodiscard]] static bool refused_twice(routing::connection_request& pool_request, const std::string& server);
    [[nodiscard]] static std::string_view describe_repeated_refusal(sql::refusal why);
    [[nodiscard]] static std::optional<sql::statement_error> setup_refusal(const routing::link_reply& reply,
                                                                           bool may_take_effect);
    asio::awaitable<bool> pin(transaction& tx, const statement_run& run, sql::reply& refusal);
    asio::awaitable<bool> open_read_only(pool& backends, lease& held, const std::optional<sql::log_position>& floor,
                                         time_point until);
    [[nodiscard]] std::optional<sql::reply> abort_unpermitted(transaction& tx, const statement_run& run);
    sql::reply fail_transaction(transaction& tx, const statement_run& run, std::string_view reason);
    sql::reply finish_commit(transaction& tx, const statement_run& run, const routing::link_reply& reply);
    [[nodiscard]] static sql::command command_of(const statement_run& run, const connection_session_state& connection);
    [[nodiscard]] routing::connection_request pool_request_for(const pool& backends, const statement_run& run,
                                                               bool needs_primary) const;
    void log_served(pool& backends, const lease& held, const statement_run& run,
                    const std::optional<sql::log_position>& floor) const;
    [[nodiscard]] static std::string describe_lag(const std::optional<sql::log_position>& floor,
                                                  const sql::reply& reply);
    void count_refused(const statement_run& run) {
        ++m_counters.refused_by_service[run.route.service][run.route.priority];
    }
    [[nodiscard]] static std::string describe_caller(const statement_run& run);
    void log_decision(event id, const statement_run& run, std::string_view server, std::string_view reason) const;

    /// A read without a reply for this long is retried on another server. This is twice the time of the slowest normal
    /// read (110 ms of work behind a short queue).
    static constexpr std::chrono::milliseconds read_attempt_timeout{400};

    /// How long a read waits for a freshness sample (a log position that the primary reported recently). This is enough
    /// for opening a connection (30 ms) and a round trip to the primary, or for a peer's reply.
    static constexpr std::chrono::milliseconds max_sample_wait{120};
    static constexpr std::chrono::milliseconds sample_poll_interval{10};
    /// Retry delay sent to the caller when a server refused a request repeatedly, usually because it is not the
    /// primary. This is about the time that it takes to find the new primary after a promotion.
    static constexpr std::chrono::milliseconds not_primary_retry_after{100};

    traffic_counters& m_counters;
};

} // namespace cornellever::session

#include "cornellever/session/statement_engine.ipp"
#include "cornellever/session/statement_outcomes.ipp"
#include "cornellever/session/statement_permission.ipp"
#include "cornellever/session/statement_transactions.ipp"
