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
#include "cornellever/routing/admission.hpp"
#include "cornellever/routing/connection_budget.hpp"
#include "cornellever/routing/connection_lease.hpp"
#include "cornellever/routing/connection_request.hpp"
#include "cornellever/routing/log_high_water_mark.hpp"
#include "cornellever/routing/placement.hpp"
#include "cornellever/routing/pool_entry.hpp"
#include "cornellever/routing/queue_estimate.hpp"
#include "cornellever/routing/read_floor.hpp"
#include "cornellever/routing/wait_queue.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::routing {

/// The connections of this proxy to the servers of one service: opens them
/// within the budget, hands them to requests, keeps those to the primary armed
/// (see `pooled_slot`) and collects freshness samples on the way.
/// Used from the traffic thread only.
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

    /// Connections to each server that this proxy may hold, how many proxies
    /// use the same servers, and whether it is meant to be one of these. One
    /// that is not serves what nobody else takes, and then gives the
    /// connections back. `under_load` is how many it may hold to each while
    /// requests of accounts wait that have none.
    void set_budget(std::size_t connections, std::size_t proxies, bool owned = true, std::size_t under_load = 0) {
        m_budget = connections;
        m_proxies = proxies;
        m_is_owner = owned;
        m_budget_under_load = std::max(under_load, connections);
    }

    /// A configuration came into force. A transaction that was opened before
    /// counts as routed by the older one, so that no statement which the newer
    /// one routes may run in it.
    void start_epoch(time_point now) { m_epoch = now; }

    /// Whether statements may use the transaction that is open on `held`.
    [[nodiscard]] bool is_primed(const slot& held) const { return held.primed && held.primed_at >= m_epoch; }

    /// Takes the registered servers of the service.
    void update(std::span<const backend_server* const> servers);

    /// A connection for `request`, waiting for one until `request.until`; none when
    /// that passes.
    asio::awaitable<lease> acquire(connection_request request);

    /// Housekeeping, every `housekeeping_period`.
    void tick();

    /// An answer of a server. `took` is given for statements that ran there.
    void note_reply(entry& from, std::optional<std::chrono::nanoseconds> took) {
        from.last_contact_at = boot_clock::now();
        if (took) {
            from.statement_time.record(from.last_contact_at, *took);
        }
    }

    /// A server said, or showed by silence, that it can't be used.
    void note_failure(entry& from, link_failure why) {
        if (why == link_failure::silent) {
            from.timed_out_at = boot_clock::now();
        }
    }

    /// An answer of a server named this as its position.
    void note_position(entry& from, const std::optional<sql::log_position>& position) {
        if (position && from.server.id != m_primary) {
            from.progress.note(*position, boot_clock::now(), m_read_floor);
        }
    }

    /// A server refused as not being the primary: another one is looked for.
    void note_not_primary(entry& from);

    /// A server acknowledged a commit that was sent at `sent_at`.
    void note_commit(entry& from, time_point sent_at, const std::optional<sql::log_position>& position);

    /// A peer saw `id` prove its lead after `leadership_confirmed_at`. It counts less than
    /// what this proxy found out itself about the server's log and lead.
    void accept_peer_confirmation(const std::string& id, time_point leadership_confirmed_at);

    /// A peer knows that `id` had come to `position` while it led.
    void note_reported_position(const std::string& id, const sql::log_position& position) {
        m_high_water_mark.note_reported_position(id, position, boot_clock::now());
    }

    /// A sample of a peer; its time is not later than the truth.
    void add_sample(const freshness_sample& sample) { m_read_floor.add(sample); }

    [[nodiscard]] const read_floor& floor() const noexcept { return m_read_floor; }
    [[nodiscard]] const std::string& primary() const noexcept { return m_primary; }
    /// Whether the primary has proved its lead to this proxy or to a peer. What
    /// the registry says of one that has just started again may not be so.
    [[nodiscard]] bool leadership_confirmed() const noexcept { return m_leadership_confirmed_at != time_point{}; }
    [[nodiscard]] std::size_t waiting() const noexcept { return m_wait_queue.size(); }
    [[nodiscard]] const std::map<std::string, std::unique_ptr<entry>, std::less<>>& entries() const noexcept {
        return m_entries;
    }

    /// What this proxy sees of the primary, for its peers.
    [[nodiscard]] primary_observation observation() const;

    /// What a request finds that would wait as long as `limits` allow: servers
    /// that could run it now, and how many stand before it in the line.
    [[nodiscard]] load_view expected_load(const connection_request& request, const time_limits& limits) const;

    /// An answer is awaited on `held`, or no more.
    void set_awaiting_reply(slot& held, bool awaiting_reply) {
        held.awaiting_reply = awaiting_reply;
        held.overdue = false;
    }

    /// A transaction holds a connection without a statement on it: another
    /// request may use its share of the server.
    void mark_idle_in_transaction(slot& held);

    /// Whether any request has asked for a connection yet.
    [[nodiscard]] bool used() const noexcept { return m_used; }

    /// Whether the primary is known and answered when last tried.
    [[nodiscard]] bool primary_reachable() const {
        const auto found = m_entries.find(m_primary);
        return found != m_entries.end() && !found->second->unreachable();
    }

    /// Whether the primary has not been heard of for so long although it was
    /// asked: it is lost, or the path to it is.
    [[nodiscard]] bool primary_unreachable_for(std::chrono::milliseconds span) const {
        const auto found = m_entries.find(m_primary);
        return found != m_entries.end() && found->second->unreachable() &&
               boot_clock::now() - found->second->last_contact_at >= span;
    }

    /// Whether others reach the primary, which this proxy does not: no other
    /// one is going to be promoted.
    void set_path_cut(bool cut) { m_path_cut = cut; }
    [[nodiscard]] bool path_cut() const noexcept { return m_path_cut; }

    /// Has the primary asked for its position soon.
    void request_sample() {
        note_use();
        tick();
    }

    /// Opens a transaction that proves the server's lead, on a connection that
    /// is in use: the connection is armed when this yields true. Waits for the
    /// proof, since a read sent right behind a refused BEGIN would run without
    /// it.
    asio::awaitable<bool> confirm_leadership(slot& held, time_point until);

    /// Asks one server whether it leads, over an idle or a new connection.
    asio::awaitable<void> probe(std::string id);

    /// Whether a server leads, over a connection opened for the question: one
    /// that was open before may have gone silent. A server that refuses another
    /// connection answers, and counts as leading; one that does not answer
    /// within `limit` does not.
    asio::awaitable<bool> is_primary_now(std::string id, std::chrono::milliseconds limit);

    /// Each server's own report of its log, for choosing a new primary.
    asio::awaitable<link_reply> ask(std::string id, sql::command what, std::chrono::milliseconds limit);

private:
    friend connection_lease<service_pool>;

    struct waiter {
        connection_request request;
        std::int64_t priority{0};
        time_point until{};
        time_point enqueued_at{};
        asio::steady_timer timer;
        slot* granted{nullptr};
        /// Its turn will come too late: others went before it meanwhile.
        bool too_late{false};
    };

    std::set<std::string, std::less<>> retire_all_but(std::span<const backend_server* const> servers);
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
    /// Connections of accounts may be more than the budget for a while, but for
    /// a server that is full.
    [[nodiscard]] std::size_t connection_cap(const entry& at) const {
        return m_account_traffic && boot_clock::now() - at.limit_reached_at >= limit_reached_for ? m_budget_under_load
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
    void note_leadership(entry& from, time_point asked_at, const std::optional<sql::log_position>& position);
    void adopt_primary(entry& from, time_point leadership_confirmed_at);
    void note_log_lost(entry& at, const sql::log_position& reported);
    void drop_primary(const std::string& id);
    [[nodiscard]] bool lacks_commits(const entry& at, const sql::log_position& reported, time_point asked_at) const;
    [[nodiscard]] bool needs_other_logs(entry& at, const sql::log_position& reported) const;
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

    /// Deadline of statements that take no slot at a server: several round
    /// trips (3 ms) and a good part of what a slow VM needs.
    static constexpr std::chrono::milliseconds control_limit{600};
    static constexpr std::chrono::milliseconds open_limit{900};
    static constexpr std::chrono::milliseconds initial_backoff{60};
    static constexpr std::chrono::milliseconds max_backoff{600};
    /// Without traffic at the primary for so long, its lead and position are
    /// asked for: a read may be 1.5 s old, and a lost primary has to be noticed.
    static constexpr std::chrono::milliseconds refresh_after{200};
    static constexpr std::chrono::milliseconds search_period{40};
    /// Connections being opened to one server at a time for accounts: each holds
    /// one of the server's slots as long as a short statement.
    static constexpr std::size_t max_openings = 2;
    /// A replica that is further behind than this is asked how far it is, so
    /// that reads return to it without one of them being refused first. Replicas
    /// apply a commit within 50 ms on average.
    static constexpr std::chrono::milliseconds normal_lag{150};
    static constexpr std::chrono::milliseconds progress_poll_period{100};
    /// Connections of a proxy that does not own them are given back after so
    /// long without a request: longer than a transaction rests, and short beside
    /// a partition. After one of 12 s that a third of 195 proxies was behind, those
    /// that kept theirs filled the servers: 1 in 30 requests was refused from then on.
    static constexpr std::chrono::milliseconds unused_for{1000};
    /// Beyond the budget, a connection that nobody used for so long is closed: a
    /// few statements' time, in which its account has not come again.
    static constexpr std::chrono::milliseconds surplus_after{300};
    /// A server counts the connections of processes that lost power for 3 s. While
    /// it refuses more, taking them beyond the budget keeps those from coming back
    /// that have none.
    static constexpr std::chrono::milliseconds limit_reached_for{3500};
    /// The registry is told 7 s before a server leaves; new work stops well
    /// before, and only the primary gets any at all.
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
    wait_queue<waiter> m_wait_queue;
    read_floor m_read_floor;
    log_high_water_mark m_high_water_mark;
    /// A server that leads without the commits of before; empty when none does.
    std::string m_log_lost_server;
    std::string m_primary;
    time_point m_leadership_confirmed_at{};
    time_point m_epoch{};
    bool m_searching{false};
    bool m_used{false};
    /// Requests of accounts came: connections are opened for one of them each.
    bool m_account_traffic{false};
    time_point m_used_at{};
    bool m_is_owner{true};
    bool m_path_cut{false};
};

} // namespace cornellever::routing

#include "cornellever/routing/service_pool.ipp"
#include "cornellever/routing/service_pool_accounts.ipp"
#include "cornellever/routing/service_pool_leadership.ipp"
#include "cornellever/routing/service_pool_primary.ipp"
#include "cornellever/routing/service_pool_queue.ipp"
