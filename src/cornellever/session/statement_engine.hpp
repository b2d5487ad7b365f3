#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/accounts/gate.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/routing/admission.hpp"
#include "cornellever/routing/service_pool.hpp"
#include "cornellever/session/answers.hpp"
#include "cornellever/session/session_state.hpp"
#include "cornellever/session/traffic_counters.hpp"

namespace cornellever::session {

/// One statement on its way: what it is, and for whom.
struct statement_run {
    const routing::database_route& route;
    /// Whose the request is and whether it may still run.
    const accounts::gate& gate;
    session_state& session;
    const sql::request& request;
    /// Set for `execute`: what the name stands for.
    const prepared_statement* prepared{nullptr};
    boot_clock::time_point arrival;

    [[nodiscard]] bool writes() const noexcept {
        return request.what.kind == sql::statement_kind::write ||
               (prepared != nullptr && prepared->touches == sql::access::write);
    }
    [[nodiscard]] boot_clock::time_point until() const { return arrival + route.statement_timeout; }
    [[nodiscard]] accounts::gate::decision permitted() const {
        return gate.ask(route.keyless, session.key, boot_clock::now());
    }
};

/// Runs statements on backend servers: alone, or as part of a transaction that
/// stays on the connection of its first statement. Decides what is run again
/// elsewhere and what must not be.
template <routing::link_connector Connector>
class statement_engine {
public:
    using pool = routing::service_pool<Connector>;
    using lease = typename pool::lease;
    using entry = typename pool::entry;
    using time_point = boot_clock::time_point;

    /// A caller's transaction. It takes a connection with its first statement.
    struct transaction {
        routing::database_route route;
        pool* backends{nullptr};
        bool read_only{false};
        /// What the log of its server had to hold; nothing on the primary.
        std::optional<sql::log_position> floor{};
        bool wrote{false};
        bool failed{false};
        lease pinned{};
    };

    explicit statement_engine(traffic_counters& counters) : m_counters{counters} {}

    /// Runs one statement outside a transaction.
    asio::awaitable<sql::reply> run_alone(pool& backends, const statement_run& run);

    /// Runs a statement or the commit of a transaction.
    asio::awaitable<sql::reply> run_inside(transaction& inside, const statement_run& run);

    /// Undoes the transaction; its connection goes on to others.
    void undo(transaction& inside);

private:
    enum class verdict { answered, again };

    [[nodiscard]] static routing::time_limits limits_of(const statement_run& run);
    asio::awaitable<void> await_sample(pool& backends, const statement_run& run, bool needs_primary);
    [[nodiscard]] std::optional<sql::reply> forbid(const statement_run& run, const accounts::gate::decision& may) const;
    [[nodiscard]] std::optional<sql::reply> forbid_on(const statement_run& run, const lease& held) const;
    [[nodiscard]] std::optional<sql::reply> admit(pool& backends, const statement_run& run,
                                                  routing::connection_want& want);
    asio::awaitable<lease> connection_for(pool& backends, const statement_run& run, routing::connection_want& want,
                                          sql::reply& refusal);
    asio::awaitable<bool> arm(pool& backends, lease& held, time_point until);
    [[nodiscard]] std::vector<sql::command> batch_for(lease& held, const statement_run& run,
                                                      const std::optional<sql::log_position>& floor,
                                                      std::size_t& wanted) const;
    asio::awaitable<routing::link_reply> exchange(pool& backends, lease& held, std::vector<sql::command> batch,
                                                  std::size_t wanted, time_point until);
    verdict judge_read(pool& backends, lease& held, const statement_run& run, routing::connection_want& want,
                       const routing::link_reply& got, sql::reply& out);
    verdict judge_write(pool& backends, lease& held, const statement_run& run, routing::connection_want& want,
                        const routing::link_reply& got, sql::reply& out);
    [[nodiscard]] static bool refused_again(routing::connection_want& want, const std::string& server);
    asio::awaitable<bool> pin(transaction& inside, const statement_run& run, sql::reply& refusal);
    asio::awaitable<bool> open_read_only(pool& backends, lease& held, const std::optional<sql::log_position>& floor,
                                         time_point until);
    [[nodiscard]] std::optional<sql::reply> forbid_inside(transaction& inside, const statement_run& run);
    sql::reply fail_inside(transaction& inside, const statement_run& run, std::string_view reason);
    sql::reply finish_commit(transaction& inside, const statement_run& run, const routing::link_reply& got);
    [[nodiscard]] static sql::command command_of(const statement_run& run);
    [[nodiscard]] routing::connection_want want_of(const pool& backends, const statement_run& run,
                                                   bool needs_primary) const;
    void log_served(pool& backends, const lease& held, const statement_run& run,
                    const std::optional<sql::log_position>& floor) const;
    [[nodiscard]] static std::string describe_lag(const std::optional<sql::log_position>& floor, const sql::reply& got);
    void log_decision(event id, const statement_run& run, std::string_view server, std::string_view reason) const;

    /// A read without an answer for so long is run again elsewhere: twice what
    /// the slowest ordinary one takes (110 ms of work behind a short queue).
    static constexpr std::chrono::milliseconds read_try_limit{400};

    /// A new connection (30 ms) and a round trip, or a peer's answer.
    static constexpr std::chrono::milliseconds sample_wait{120};
    static constexpr std::chrono::milliseconds sample_poll{10};
    /// About what it takes to find another primary where one was promoted.
    static constexpr std::chrono::milliseconds refused_lead_pause{100};

    traffic_counters& m_counters;
};

} // namespace cornellever::session

#include "cornellever/session/statement_engine.ipp"
#include "cornellever/session/statement_permission.ipp"
#include "cornellever/session/statement_transactions.ipp"
#include "cornellever/session/statement_verdicts.ipp"
