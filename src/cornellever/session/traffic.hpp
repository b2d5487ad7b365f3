#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/accounts/gate.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/stable_hash.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/servers_by_service.hpp"
#include "cornellever/routing/service_pool.hpp"
#include "cornellever/session/active_session.hpp"
#include "cornellever/session/caller.hpp"
#include "cornellever/session/connection_ownership.hpp"
#include "cornellever/session/operation_limits.hpp"
#include "cornellever/session/primary_paths.hpp"
#include "cornellever/session/relay.hpp"
#include "cornellever/session/statement_engine.hpp"

namespace cornellever::session {

/// The furthest position that a server named while it led.
struct reported_position {
    std::string server;
    sql::log_position furthest;
};

/// The traffic side of a proxy that serves statement sessions: the
/// configuration in force, the pools, and the open sessions.
/// Used from the traffic thread only.
template <routing::link_connector Connector>
class traffic {
public:
    using pool = routing::service_pool<Connector>;
    using engine = statement_engine<Connector>;

    traffic(asio::any_io_executor executor, Connector& connector, std::string name, std::string data_center,
            accounts::configuration_lease lease = accounts::configuration_lease{})
        : m_executor{std::move(executor)}
        , m_connector{connector}
        , m_name{std::move(name)}
        , m_data_center{std::move(data_center)}
        , m_gate{lease}
        , m_engine{m_counters}
        , m_configuration_due{m_executor, max_configuration_wait} {}

    /// Takes a newer configuration; an older or equal one is ignored.
    void update(routing::configuration config);

    /// Takes the registered backend servers.
    void update(routing::registry servers);

    /// The configuration at hand, or an older one, was the newest at `at`.
    void confirm_configuration(boot_clock::time_point at) { m_gate.prove(at); }

    /// The proxies that share each server's connections, this one among them;
    /// none while they are not known yet. `complete` is whether these are known
    /// to be all.
    void set_proxies(std::vector<proxy_node> proxies, bool complete = true);

    /// Has operations of accounts counted from now on.
    void set_operation_limits(operation_limits how) { m_limits = std::move(how); }

    /// Another proxy heard the primary of a service at `last_contact`.
    void record_primary_path(const std::string& service, const proxy_node& peer, boot_clock::time_point last_contact) {
        m_paths.record_contact(service, peer, last_contact);
    }

    /// Another proxy knows how far a primary's log had come.
    void note_told(const std::string& service, reported_position what);

    /// Housekeeping of the pools and of sessions whose path was cut.
    void tick() {
        update_paths();
        for (auto& [name, backends] : m_pools) {
            backends->tick();
        }
        close_relayed_without_primary();
    }

    /// Serves one caller until its session ends.
    template <caller_channel Caller>
    asio::awaitable<void> serve(Caller caller);

    /// Whether callers can be served: a configuration is known.
    [[nodiscard]] bool has_configuration() const noexcept { return m_config.version != 0; }

    /// From now on sessions end behind their next answer outside a transaction.
    void close_after_answer() { m_close_after_answer = true; }

    /// Ends the sessions that rest; later ones end as they come to rest.
    void close_idle_sessions();

    /// Ends the sessions whose callers rest inside a transaction.
    void close_idle_in_transaction();

    /// From now on open transactions are ended too.
    void abort_transactions() { m_abort_transactions = true; }

    [[nodiscard]] std::size_t sessions() const noexcept { return m_sessions.size(); }
    [[nodiscard]] const routing::configuration& config() const noexcept { return m_config; }
    [[nodiscard]] const accounts::gate& gate() const noexcept { return m_gate; }
    [[nodiscard]] const routing::registry& servers() const noexcept { return m_registry; }
    [[nodiscard]] const traffic_counters& counters() const noexcept { return m_counters; }
    [[nodiscard]] std::map<std::string, std::unique_ptr<pool>, std::less<>>& pools() noexcept { return m_pools; }

    /// The pool of a service, made when it is first asked for.
    [[nodiscard]] pool& pool_for(const std::string& service);

private:
    using transaction = typename engine::transaction;
    using active_session = session::active_session<Connector>;
    using peer_session = session_at_peer<typename Connector::relay>;

    void update_pools();
    [[nodiscard]] bool owns(const std::string& database);
    asio::awaitable<void> await_configuration();
    asio::awaitable<void> await_proxies();
    [[nodiscard]] const connection_ownership& ownership_of(const std::string& service);
    void update_connection_budgets();
    [[nodiscard]] std::vector<proxy_node> detour_peers(const std::string& database, std::uint64_t session) const;
    void update_paths();
    void close_relayed_without_primary();
    void choose_site(active_session& active);
    [[nodiscard]] bool peer_suspected(const peer_session& at_peer) const;
    [[nodiscard]] std::uint64_t spreading_key(const active_session& active) const;
    [[nodiscard]] std::vector<proxy_node> candidate_peers(const active_session& active);
    asio::awaitable<bool> open_at_peer(active_session& active);
    [[nodiscard]] std::optional<sql::reply> answer_locally(active_session& active, const sql::request& request);
    static sql::reply answer_after_failure(peer_session& at_peer, const sql::request& request);
    static void pipeline(peer_session& at_peer, const sql::request& request);
    [[nodiscard]] static bool writes(const active_session& active, const sql::request& request);
    asio::awaitable<routing::link_reply> execute_at_peer(active_session& active, const sql::request& request,
                                                         boot_clock::time_point until);
    [[nodiscard]] static bool may_retry(const active_session& active, const sql::request& request,
                                        routing::link_failure why);
    asio::awaitable<sql::reply> relay(active_session& active, const sql::request& request);
    asio::awaitable<sql::reply> execute_locally(active_session& active, const sql::request& request);
    asio::awaitable<sql::reply> answer_at_site(active_session& active, const sql::request& request);
    [[nodiscard]] std::optional<sql::statement_error> opening_refusal(const session_opening& opening,
                                                                      std::string& reason) const;
    [[nodiscard]] bool refuse_opening(const session_opening& opening, auto& caller);
    [[nodiscard]] std::optional<sql::reply> refuse_revoked_key(active_session& active, const sql::request& request);
    [[nodiscard]] static bool starts_operation(const active_session& active, const sql::request& request);
    asio::awaitable<std::optional<sql::reply>> refuse_over_limit(active_session& active, const sql::request& request);
    asio::awaitable<void> await_version(std::uint64_t version);
    void count(const sql::reply& out, boot_clock::time_point arrival);
    asio::awaitable<sql::reply> answer(active_session& active, const sql::request& request);
    asio::awaitable<sql::reply> run(active_session& active, const sql::request& request);
    sql::reply begin(active_session& active, bool read_only);
    sql::reply roll_back(active_session& active);
    sql::reply prepare(active_session& active, const sql::statement& what);
    sql::reply deallocate(active_session& active, const sql::statement& what);
    [[nodiscard]] static sql::transaction_state state_of(const active_session& active);
    [[nodiscard]] boot_clock::time_point request_deadline(const active_session& active) const;

    /// A session without a transaction may rest as long as it likes.
    static constexpr std::chrono::hours idle_session_limit{24};
    /// A connection is taken by the VM itself, in a round trip.
    static constexpr std::chrono::milliseconds peer_connect_timeout{100};
    /// Other proxies that are tried for one operation: its caller waits
    /// meanwhile, and aims at 120 ms.
    static constexpr std::size_t max_peer_attempts = 2;
    /// One that took no session, or ended it, comes last for so long. A process
    /// that was stopped is back sooner, but the others serve meanwhile; one
    /// behind a cut path costs a caller `peer_connect_timeout` at each try.
    static constexpr std::chrono::milliseconds peer_backoff{5000};
    /// From the start of the process: twice what the slowest of 88 small VMs
    /// took to load 1,346 databases after all had been started together
    /// (0.48 s). Callers give up an opening after 2 s.
    static constexpr std::chrono::milliseconds max_configuration_wait{1000};
    /// A caller gives up an opening after 2 s.
    static constexpr std::chrono::milliseconds max_membership_wait{1000};
    /// A configuration comes to all proxies within several heartbeats.
    static constexpr std::chrono::milliseconds max_version_wait{300};
    /// A primary that others hear and this proxy does not, for so long, is cut
    /// off from it: it is asked five times a second at least, and a connection
    /// that the network gave up shows in 0.7 s.
    static constexpr std::chrono::milliseconds primary_silence_limit{600};
    /// The owner answers by the statement's timeout itself.
    static constexpr std::chrono::milliseconds peer_reply_slack{300};

    asio::any_io_executor m_executor;
    Connector& m_connector;
    std::string m_name;
    std::string m_data_center;
    routing::configuration m_config;
    routing::registry m_registry;
    std::vector<proxy_node> m_proxies;
    primary_paths m_paths;
    /// Proxies that took no session or ended it, and when.
    std::map<std::string, boot_clock::time_point, std::less<>> m_peer_failures;
    /// By service, worked out when first asked for.
    std::map<std::string, connection_ownership, std::less<>> m_ownership;
    traffic_counters m_counters;
    accounts::gate m_gate;
    operation_limits m_limits;
    engine m_engine;
    /// Ends when a configuration is known, or is not expected any more.
    asio::steady_timer m_configuration_due;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> m_pools;
    /// By service, for pools that are not made yet.
    std::map<std::string, reported_position, std::less<>> m_reported_positions;
    std::set<active_session*> m_sessions;
    std::uint64_t m_last_session_id{0};
    bool m_close_after_answer{false};
    bool m_close_idle_sessions{false};
    bool m_abort_transactions{false};
};

} // namespace cornellever::session

#include "cornellever/session/traffic.ipp"
#include "cornellever/session/traffic_accounts.ipp"
#include "cornellever/session/traffic_relay.ipp"
#include "cornellever/session/traffic_sharing.ipp"
