#pragma once

#include <algorithm>
#include <chrono>
#include <expected>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/routing/account_connection_limits.hpp"
#include "cornellever/routing/account_shares.hpp"
#include "cornellever/routing/admission.hpp"
#include "cornellever/routing/connection_budget.hpp"
#include "cornellever/routing/connection_lease.hpp"
#include "cornellever/routing/connection_request.hpp"
#include "cornellever/routing/drain_times.hpp"
#include "cornellever/routing/log_high_water_mark.hpp"
#include "cornellever/routing/placement.hpp"
#include "cornellever/routing/pool_entry.hpp"
#include "cornellever/routing/pool_waiter.hpp"
#include "cornellever/routing/queue_estimate.hpp"
#include "cornellever/routing/read_floor.hpp"
#include "cornellever/routing/replica_lag.hpp"
#include "cornellever/routing/wait_queue.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::routing {

/// The connection pool of this proxy for the servers of one service. The pool opens connections within a budget and
/// lends them to requests. It keeps idle connections to the primary primed (see `pooled_slot`) and collects freshness
/// samples (see `freshness_sample`). The pool tracks which server is the primary from leadership confirmations, which
/// are replies that show that a server has opened a read-write transaction or committed one. Used only from the traffic
/// thread, which processes the requests of the callers (client applications).
template <link_connector Connector>
class service_pool {
public:
    using link = typename Connector::link;
    using slot = pooled_slot<link>;
    using entry = pool_entry<link>;
    using time_point = boot_clock::time_point;
    using lease = connection_lease<service_pool>;

    service_pool(asio::any_io_executor executor, Connector& connector, std::string service, std::string data_center)
        : m_executor{std::move(executor)}
        , m_connector{connector}
        , m_service{std::move(service)}
        , m_data_center{std::move(data_center)} {}

    service_pool(const service_pool&) = delete;
    service_pool& operator=(const service_pool&) = delete;

    /// Sets how many `connections` to each server this proxy may hold and how many `proxies` share the servers. `owned`
    /// is true if this proxy is a connection owner, which keeps connections open. Any other proxy relays requests to
    /// the owners, opens connections only for requests that it cannot relay, and closes them afterwards. `under_load`
    /// replaces `connections` while requests of accounts without a connection wait.
    void set_budget(std::size_t connections, std::size_t proxies, bool owned = true, std::size_t under_load = 0) {
        m_budget = connections;
        m_proxies = proxies;
        m_is_owner = owned;
        m_budget_under_load = std::max(under_load, connections);
    }

    /// Records that a new configuration takes effect. Transactions opened before belong to the previous configuration,
    /// so no statement routed by the new one may use them.
    void start_epoch(time_point now) { m_epoch = now; }

    /// Whether statements may use the transaction that the proxy opened on `held` ahead of use.
    [[nodiscard]] bool is_primed(const slot& held) const { return held.primed && held.primed_at >= m_epoch; }

    /// Replaces the registered servers of the service.
    void update(std::span<const backend_server* const> servers, const drain_times& drains);

    /// Checks out a connection for `request` and waits for one until `request.until` if necessary. The returned lease
    /// is empty if no connection became free in time or none is expected to become free in time.
    asio::awaitable<lease> acquire(connection_request request);

    /// Runs the periodic maintenance. The calling code sets the period.
    void tick();

    /// Records a reply from a server. `took` is set for statements that the server executed.
    void note_reply(entry& from, std::optional<std::chrono::nanoseconds> took) {
        from.last_contact_at = boot_clock::now();
        if (took) {
            from.statement_time.record(from.last_contact_at, *took);
        }
    }

    /// Records that a server did not reply to an exchange before the deadline. Other kinds of failure are ignored here.
    void note_failure(entry& from, link_failure why) {
        if (why == link_failure::silent) {
            from.timed_out_at = boot_clock::now();
        }
    }

    /// Records the log position in a reply from a replica to a request that was sent at `asked_at`.
    void note_position(entry& from, const std::optional<sql::log_position>& position, time_point asked_at);

    /// Records a `not_primary` refusal and starts searching for the new primary.
    void note_not_primary(entry& from);

    /// Records that a server acknowledged a commit sent at `sent_at`.
    void note_commit(entry& from, time_point sent_at, const std::optional<sql::log_position>& position);

    /// Records that a peer (another proxy) received a leadership confirmation from `id` that was requested at
    /// `leadership_confirmed_at`. What this proxy has observed itself about the server's log and refusals takes
    /// precedence.
    void accept_peer_confirmation(const std::string& id, time_point leadership_confirmed_at);

    /// Records that this proxy had `id` promoted. If its log was empty then, the promotion rolled back all commits.
    void note_promoted(const std::string& id);

    /// Records that until `until` the registry may lack servers that lost their registration during an outage of the
    /// store. One of them may hold the commits that an empty log lacks.
    void await_returning_servers(time_point until) { m_registry_complete_at = until; }

    /// If the primary cannot be used because its log is empty and a server that may hold the commits does not respond,
    /// returns the time until that server is contacted again.
    [[nodiscard]] std::optional<std::chrono::milliseconds> unproven_log_retry_after() const;

    /// Records that until `until` no server is suitable to become the primary.
    void note_no_successor(time_point until) { m_no_successor_until = until; }

    /// If the primary cannot be reached and no other server is suitable to replace it, returns the time until the
    /// servers are queried again.
    [[nodiscard]] std::optional<std::chrono::milliseconds> no_successor_retry_after() const;

    /// Returns the servers that were removed from the registry and may have held commits that no registered replica is
    /// known to have received. The position is the highest known of the primary's log at the time of the removal.
    [[nodiscard]] const std::map<std::string, sql::log_position, std::less<>>& removed_servers() const noexcept {
        return m_removed_servers;
    }

    /// Records the log position that `id` had reached as the primary according to a peer.
    void note_reported_position(const std::string& id, const sql::log_position& position) {
        m_high_water_mark.note_reported_position(id, position, boot_clock::now());
    }

    /// Adds a freshness sample received from a peer. Its time may be earlier than that of the leadership confirmation's
    /// request, which only makes the sample guarantee less, but must never be later.
    void add_sample(const freshness_sample& sample) { m_read_floor.add(sample); }

    [[nodiscard]] const read_floor& floor() const noexcept { return m_read_floor; }
    [[nodiscard]] const std::string& primary() const noexcept { return m_primary; }
    /// Whether the primary's leadership was confirmed to this proxy or to a peer. The registered role alone is not
    /// enough, since it may be wrong for a server that just restarted.
    [[nodiscard]] bool leadership_confirmed() const noexcept { return m_leadership_confirmed_at != time_point{}; }
    /// Requests in the wait queue.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_wait_queue.size(); }
    /// Requests in the wait queue, by the priority of their database.
    [[nodiscard]] std::map<int, std::size_t> waiting_by_priority() const;
    [[nodiscard]] bool is_owner() const noexcept { return m_is_owner; }
    [[nodiscard]] const std::map<std::string, std::unique_ptr<entry>, std::less<>>& entries() const noexcept {
        return m_entries;
    }

    /// Returns this proxy's observation of the primary, to be sent to peers.
    [[nodiscard]] primary_observation observation() const;

    /// Returns the load that a request faces if it waits as long as `limits` allow, from the capacity of the eligible
    /// servers and the number of requests queued ahead.
    [[nodiscard]] load_view expected_load(const connection_request& request, const time_limits& limits) const;

    /// Sets whether a request waits for a reply on `held`.
    void set_awaiting_reply(slot& held, bool awaiting_reply) {
        held.awaiting_reply = awaiting_reply;
        held.overdue = false;
    }

    /// Records how long a statement or a handshake of an account took on a server.
    void note_slot_time(const entry& at, const std::string& account, std::chrono::nanoseconds took);
    /// Returns the accounts that used the service recently.
    [[nodiscard]] std::vector<account_usage> usage_by_account(time_point now) const;

    /// Marks a connection as held by a transaction that is between two statements. The connection then does not count
    /// towards this proxy's concurrency on the server, so another request may run.
    void mark_idle_in_transaction(slot& held);

    /// Whether any request has needed a connection since the pool last closed its unused connections.
    [[nodiscard]] bool used() const noexcept { return m_used; }

    /// Whether the primary is known and the last attempt to reach it succeeded.
    [[nodiscard]] bool primary_reachable() const {
        const auto found = m_entries.find(m_primary);
        return found != m_entries.end() && !found->second->unreachable();
    }

    /// Whether the primary has been unreachable for at least `span`, because either the primary or the network path to
    /// it failed.
    [[nodiscard]] bool primary_unreachable_for(std::chrono::milliseconds span) const {
        const auto found = m_entries.find(m_primary);
        return found != m_entries.end() && found->second->unreachable() &&
               boot_clock::now() - found->second->last_contact_at >= span;
    }

    /// Sets whether peers reach the primary while this proxy does not. In that case no other server is going to be
    /// promoted.
    void set_path_cut(bool cut) { m_path_cut = cut; }
    [[nodiscard]] bool path_cut() const noexcept { return m_path_cut; }

    /// Requests a new freshness sample from the primary.
    void request_sample() {
        note_use();
        tick();
    }

    /// Opens a transaction on a connection in use, which confirms the server's leadership, and returns whether the
    /// connection is primed. The function waits for the reply, because a read that was pipelined behind a refused BEGIN
    /// would run without a confirmation.
    asio::awaitable<bool> confirm_leadership(slot& held, time_point until);

    /// Requests a leadership confirmation from one server on an idle or a new connection.
    asio::awaitable<void> probe(std::string id);

    /// Whether a server is the primary. The check uses a new connection because an existing one may be dead. A server
    /// that refuses the connection with `too_many_connections` is alive and counts as the primary. A server that does
    /// not reply within `limit` does not count as the primary.
    asio::awaitable<bool> is_primary_now(std::string id, std::chrono::milliseconds limit);

    /// Sends a control command to one server, for example for its status.
    asio::awaitable<link_reply> query(std::string id, sql::command command, std::chrono::milliseconds limit);

private:
    friend connection_lease<service_pool>;

    using waiter = pool_waiter<slot>;

    std::set<std::string, std::less<>> retire_all_but(std::span<const backend_server* const> servers);
    void note_removed(const entry& at);
    void forget_covered_removals();
    [[nodiscard]] std::optional<sql::log_position> known_log_end() const;
    void retire(entry& old_entry);
    void close_idle(entry& at);
    [[nodiscard]] bool eligible(const connection_request& request, const entry& at, time_point now) const;
    [[nodiscard]] slot* check_out(const connection_request& request);
    [[nodiscard]] slot* best_idle(const entry& at, const connection_request& request) const;
    void open_for_request(const connection_request& request);
    [[nodiscard]] std::size_t max_concurrency(const entry& at) const {
        return statements_per_proxy(at.server.slots, m_proxies);
    }
    [[nodiscard]] server_set servers_for(const connection_request& request, time_point now) const;
    [[nodiscard]] std::vector<server_capacity> server_capacities(time_point now) const;
    [[nodiscard]] std::vector<queued_request> queue_snapshot(time_point now) const;
    [[nodiscard]] std::vector<shared_server> shared_servers(const connection_request& request, time_point now) const;
    [[nodiscard]] bool over_share(const connection_request& request, time_point now) const;
    [[nodiscard]] account_shares::claim claim_share(const connection_request& request, time_point now);
    void reject_overtaken(const waiter& by);
    void grant(waiter& next, slot& held);
    void serve_queue(entry& at);
    bool try_serve(entry& at, waiter& next);
    void replace_overdue(entry& at, time_point now);
    void note_use() {
        m_used = true;
        m_used_at = boot_clock::now();
    }
    void close_unused(time_point now);
    /// Returns how many connections to a server may be open. Connections that belong to accounts may exceed the budget
    /// for a while, except on a server that recently reached its connection limit.
    [[nodiscard]] std::size_t connection_cap(const entry& at) const {
        return m_account_traffic && boot_clock::now() - at.limit_reached_at >= detail::limit_reached_for
                   ? m_budget_under_load
                   : m_budget;
    }
    [[nodiscard]] bool has_room(const entry& at) const {
        return at.held() < connection_cap(at) + std::min(at.overdue(), m_budget);
    }
    void close_surplus(entry& at, time_point now);
    [[nodiscard]] bool may_open(const entry& at, time_point now) const { return now >= at.open_after && has_room(at); }
    [[nodiscard]] slot* eviction_candidate(const entry& at, const std::string& account, bool urgent) const;
    [[nodiscard]] bool may_open_for(const entry& at, const std::string& account, bool urgent, time_point now) const;
    entry* choose_server_to_open(const connection_request& request);
    void open_for_account(entry& at, const std::string& account, bool urgent);
    [[nodiscard]] bool has_waited_long(const entry& at, const waiter& item, time_point now) const;
    void note_opened(entry& at, const std::string& account);
    slot& add_slot(entry& at, std::unique_ptr<link> connection, const std::string& account);
    void evaluate_leadership(slot& held, const sql::reply& from);
    void add_own_sample(const entry& from, const freshness_sample& sample);
    void note_leadership(entry& from, time_point asked_at, const std::optional<sql::log_position>& position);
    void adopt_primary(entry& from, time_point leadership_confirmed_at);
    void note_log_lost(entry& at, const sql::log_position& reported);
    void drop_primary(const std::string& id);
    void roll_back_primed(entry& at);
    [[nodiscard]] static std::vector<sql::command> begin_batch(slot& held);
    static void forget_empty_log(entry& at);
    [[nodiscard]] bool lacks_commits(const entry& at, const sql::log_position& reported, time_point asked_at) const;
    [[nodiscard]] bool is_log_unproven(const slot& held, const sql::log_position& reported);
    [[nodiscard]] std::vector<const entry*> unreported_since(const entry& primary, time_point since) const;
    asio::awaitable<void> renew_empty_log_proof(const slot& held, time_point until);
    void open_one(entry& at, std::string account = {});
    asio::awaitable<void> open(entry& at, std::string account);
    void check_in(slot& held);
    asio::awaitable<void> await_pending(slot& held);
    asio::awaitable<void> refresh_leadership(slot& held);
    void make_idle(slot& held);
    void destroy(slot& held);
    void forget_if_empty(entry& at);
    void start_primary_search();
    asio::awaitable<void> search_primary();
    void prime_idle(entry& at);
    void poll_progress(entry& at, time_point now);
    asio::awaitable<void> query_position(slot& held);

    /// Timeout of control statements, which take no execution slot. The timeout covers several round trips (3 ms) and
    /// the delays of a slow VM.
    static constexpr std::chrono::milliseconds control_limit{600};
    static constexpr std::chrono::milliseconds open_limit{900};
    static constexpr std::chrono::milliseconds initial_backoff{60};
    static constexpr std::chrono::milliseconds max_backoff{600};
    /// A leadership confirmation is requested after this time without traffic to the primary. The time is short because
    /// the freshness bound of reads may be 1.5 s and a failed primary has to be detected.
    static constexpr std::chrono::milliseconds refresh_after{200};
    static constexpr std::chrono::milliseconds search_period{40};
    /// How often a new connection checks whether an older one to the same server is free or has received a reply.
    static constexpr std::chrono::milliseconds proof_poll_period{5};
    /// A replica with a larger replication lag is polled for its log position, so that the proxy notices when the
    /// replica has caught up and sends reads to it again without a refused attempt. Replicas apply a commit within 50
    /// ms on average.
    static constexpr std::chrono::milliseconds normal_lag{150};
    static constexpr std::chrono::milliseconds progress_poll_period{100};
    /// A proxy that is not a connection owner closes its connections after this time without a request. The time is
    /// longer than a transaction stays idle and short compared with a network partition. If such proxies kept the
    /// connections that they open during a partition, the servers would stay at their connection limit: after a 12 s
    /// partition of a third of 195 proxies, 1 in 30 requests was refused.
    static constexpr std::chrono::milliseconds unused_for{1000};
    /// How long a draining primary gets new requests. A server is registered as draining 7 s before it stops; draining
    /// replicas get no new requests.
    static constexpr std::chrono::milliseconds draining_primary_use{5500};

    asio::any_io_executor m_executor;
    Connector& m_connector;
    std::string m_service;
    std::string m_data_center;
    std::size_t m_budget{1};
    std::size_t m_budget_under_load{1};
    std::size_t m_proxies{1};
    std::map<std::string, std::unique_ptr<entry>, std::less<>> m_entries;
    std::vector<std::unique_ptr<entry>> m_retired;
    std::map<std::string, sql::log_position, std::less<>> m_removed_servers;
    account_shares m_shares;
    wait_queue<waiter> m_wait_queue;
    read_floor m_read_floor;
    log_high_water_mark m_high_water_mark;
    /// The id of a primary that has lost commits; empty when there is none.
    std::string m_log_lost_server;
    std::string m_primary;
    time_point m_leadership_confirmed_at{};
    time_point m_epoch{};
    bool m_searching{false};
    bool m_used{false};
    /// Whether requests that belong to accounts have arrived. From then on, each connection is opened for one account.
    bool m_account_traffic{false};
    time_point m_used_at{};
    bool m_is_owner{true};
    bool m_path_cut{false};
    time_point m_no_successor_until{};
    time_point m_registry_complete_at{};
};

} // namespace cornellever::routing

#include "cornellever/routing/service_pool.ipp"
#include "cornellever/routing/service_pool_accounts.ipp"
#include "cornellever/routing/service_pool_leadership.ipp"
#include "cornellever/routing/service_pool_primary.ipp"
#include "cornellever/routing/service_pool_queue.ipp"
#include "cornellever/routing/service_pool_shares.ipp"
