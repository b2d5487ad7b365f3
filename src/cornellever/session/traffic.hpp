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

#include "cornellever/accounts/authorizer.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/printable_word.hpp"
#include "cornellever/core/stable_hash.hpp"
#include "cornellever/routing/drain_times.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/servers_by_service.hpp"
#include "cornellever/routing/service_pool.hpp"
#include "cornellever/session/active_session.hpp"
#include "cornellever/session/caller.hpp"
#include "cornellever/session/connection_ownership.hpp"
#include "cornellever/session/operation_limits.hpp"
#include "cornellever/session/owner_choice.hpp"
#include "cornellever/session/ownership_cache.hpp"
#include "cornellever/session/primary_paths.hpp"
#include "cornellever/session/relay.hpp"
#include "cornellever/session/statement_engine.hpp"

namespace cornellever::session {

/// The highest log position that a server is reported to have reached while it was the primary.
struct reported_position {
    std::string server;
    sql::log_position furthest;
};

/// The data plane of a proxy: the configuration in force, a connection pool for each service, and the open sessions of
/// callers (connected client applications). A session's statements are executed by this proxy or relayed to another
/// proxy. Used from the traffic thread only.
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
        , m_owner_choice{m_name}
        , m_authorizer{lease}
        , m_engine{m_counters}
        , m_configuration_due{m_executor, max_configuration_wait} {}

    /// Applies a newer configuration; an older or equal one is ignored.
    void update(routing::configuration config);

    /// Applies a registry of backend servers; a registry older than the current one is ignored. The one before was last
    /// confirmed as current at `before_current_at`, or never if that is the clock's epoch.
    void update(routing::registry servers, boot_clock::time_point before_current_at = boot_clock::now());

    /// Records that the configuration in force, or an older one, was confirmed to be current at the time `at`. This
    /// extends the configuration lease, the time for which this proxy may check API keys against its copy of the
    /// configuration.
    void confirm_configuration(boot_clock::time_point at) { m_authorizer.confirm_current(at); }

    /// Sets the proxies that share each server's connections, including this proxy. The list is empty while the proxies
    /// are not known yet. `complete` is true if the list is known to contain all proxies.
    void set_proxies(std::vector<proxy_node> proxies, bool complete = true);

    /// Turns rate limiting of accounts on.
    void set_operation_limits(operation_limits how) { m_limits = std::move(how); }

    /// Records that `peer` received a reply from the service's primary at `last_contact`.
    void record_primary_path(const std::string& service, const proxy_node& peer, boot_clock::time_point last_contact) {
        m_paths.record_contact(service, peer, last_contact);
    }

    /// Records the load that the proxy `owner` reported for a service.
    void record_owner_load(const std::string& service, const std::string& owner, const owner_load& load) {
        m_owner_choice.record_load(service, owner, load);
    }

    /// Returns the services whose owners this proxy should ask for their load, because it relays sessions to them and
    /// relayed statements were slow or refused.
    [[nodiscard]] std::set<std::string, std::less<>> services_relayed_under_load() const {
        return m_owner_choice.services_under_load(boot_clock::now());
    }

    /// Records the log position that another proxy reported for a primary.
    void note_reported_position(const std::string& service, reported_position position);

    /// Performs the periodic maintenance: detects cut network paths to primaries, maintains the pools, and closes idle
    /// relayed sessions whose primary this proxy does not reach.
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

    /// Whether a configuration is known. Without a configuration no session can be opened.
    [[nodiscard]] bool has_configuration() const noexcept { return m_config.version != 0; }

    /// From now on, this proxy is not ready. It still serves its sessions, and new ones that the load balancer opens
    /// until it has noticed.
    void announce_stop() { m_stop_announced = true; }

    /// Whether the load balancer should open sessions at this proxy.
    [[nodiscard]] bool ready() const noexcept { return has_configuration() && !m_stop_announced; }

    /// From now on, each session is closed after its next reply outside a transaction.
    void close_after_answer() { m_close_after_answer = true; }

    /// Closes all idle sessions. From now on, every other session is closed as soon as it is idle.
    void close_idle_sessions();

    /// Closes the sessions that are idle in a transaction.
    void close_idle_in_transaction();

    /// From now on, open transactions are rolled back at their next statement, unless that statement is the commit.
    void abort_transactions() { m_abort_transactions = true; }

    [[nodiscard]] std::size_t sessions() const noexcept { return m_sessions.size(); }
    [[nodiscard]] const routing::configuration& config() const noexcept { return m_config; }
    [[nodiscard]] const accounts::authorizer& authorizer() const noexcept { return m_authorizer; }
    [[nodiscard]] const routing::registry& servers() const noexcept { return m_registry; }
    [[nodiscard]] const traffic_counters& counters() const noexcept { return m_counters; }
    [[nodiscard]] std::map<std::string, std::unique_ptr<pool>, std::less<>>& pools() noexcept { return m_pools; }

    /// Returns the connection pool of a service and creates it on first use.
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
    [[nodiscard]] bool failed_recently(std::string_view peer, boot_clock::time_point now) const;
    [[nodiscard]] bool leaves_owner(active_session& active);
    [[nodiscard]] std::vector<proxy_node> owners_in_order(const active_session& active, const std::string& service);
    [[nodiscard]] const proxy_node* find_better_owner(const active_session& active,
                                                      const routing::database_route& route,
                                                      std::span<const proxy_node> order, const std::string& current);
    [[nodiscard]] std::size_t sessions_at(const std::string& service, std::string_view peer) const;
    [[nodiscard]] std::uint64_t spreading_key(const active_session& active) const;
    [[nodiscard]] std::vector<proxy_node> candidate_peers(active_session& active);
    asio::awaitable<bool> open_at_peer(active_session& active);
    [[nodiscard]] std::optional<sql::reply> answer_locally(active_session& active, const sql::request& request);
    static sql::reply answer_after_failure(peer_session& at_peer, const sql::request& request);
    static void pipeline(peer_session& at_peer, const sql::request& request);
    [[nodiscard]] static bool writes(const active_session& active, const sql::request& request);
    asio::awaitable<routing::link_reply> execute_at_peer(active_session& active, const sql::request& request,
                                                         boot_clock::time_point until);
    [[nodiscard]] static bool may_retry(const active_session& active, const sql::request& request,
                                        routing::link_failure why);
    void note_relayed(const active_session& active, const sql::reply& reply, boot_clock::time_point sent_at);
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
    sql::reply update_session(active_session& active, const sql::statement& statement);
    [[nodiscard]] static sql::transaction_state state_of(const active_session& active);
    [[nodiscard]] boot_clock::time_point request_deadline(const active_session& active) const;

    /// Idle time after which a session without an open transaction is closed; practically unlimited.
    static constexpr std::chrono::hours idle_session_limit{24};
    /// Timeout for opening a session at a peer. The peer's kernel accepts a connection within a round trip.
    static constexpr std::chrono::milliseconds peer_connect_timeout{100};
    /// Number of peers that are tried for one operation. The caller waits during the attempts, and the target latency
    /// is 120 ms.
    static constexpr std::size_t max_peer_attempts = 2;
    /// How long a peer that refused or lost a session is tried only after the other peers. A stopped peer restarts
    /// sooner, but the other peers serve its sessions until then. A peer behind a cut network path costs a caller
    /// `peer_connect_timeout` per attempt.
    static constexpr std::chrono::milliseconds peer_backoff{5000};
    /// How long the opening of a session waits for the first configuration, measured from the start of the process.
    /// This is twice the time that the slowest of 88 small VMs took to load 1,346 databases when all VMs were started
    /// together (0.48 s). Callers abandon the opening of a session after 2 s.
    static constexpr std::chrono::milliseconds max_configuration_wait{1000};
    /// How long a request waits for the list of proxies. Callers abandon the opening of a session after 2 s.
    static constexpr std::chrono::milliseconds max_membership_wait{1000};
    /// How long the opening of a relayed session waits for the relaying proxy's version of the configuration. A
    /// configuration reaches all proxies within several heartbeats.
    static constexpr std::chrono::milliseconds max_version_wait{300};
    /// The network path to a primary counts as cut after this time without a reply from the primary, if peers still
    /// reach the primary. The primary is polled at least five times a second, and a connection that the network dropped
    /// is detected in 0.7 s.
    static constexpr std::chrono::milliseconds primary_silence_limit{600};
    /// Age of the last confirmation of the registry from which the store is presumed to have been unavailable. It is
    /// shorter than the silence after which a server's registration expires.
    static constexpr std::chrono::milliseconds store_outage_threshold{3000};
    /// How long after an outage of the store a server may take to register again, with the time until this proxy learns
    /// of it.
    static constexpr std::chrono::milliseconds registration_return_time{2500};
    /// How much longer than the statement's timeout this proxy waits for a peer's reply. The peer itself enforces the
    /// statement's timeout.
    static constexpr std::chrono::milliseconds peer_reply_slack{300};

    asio::any_io_executor m_executor;
    Connector& m_connector;
    std::string m_name;
    std::string m_data_center;
    routing::configuration m_config;
    routing::registry m_registry;
    routing::drain_times m_drain_times;
    /// Until then, servers may be missing from the registry (see `service_pool::await_returning_servers`).
    boot_clock::time_point m_registry_complete_at{};
    bool m_stop_announced{false};
    std::vector<proxy_node> m_proxies;
    primary_paths m_paths;
    /// When each peer last refused or lost a session, by the peer's name.
    std::map<std::string, boot_clock::time_point, std::less<>> m_peer_failures;
    ownership_cache m_ownership;
    owner_choice m_owner_choice;
    traffic_counters m_counters;
    accounts::authorizer m_authorizer;
    operation_limits m_limits;
    engine m_engine;
    /// Timer that expires after `max_configuration_wait` and is cancelled when a configuration arrives.
    asio::steady_timer m_configuration_due;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> m_pools;
    /// Reported log positions for services without a pool yet, by service name.
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
#include "cornellever/session/traffic_owners.ipp"
#include "cornellever/session/traffic_relay.ipp"
#include "cornellever/session/traffic_sharing.ipp"
