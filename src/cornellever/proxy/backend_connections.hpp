#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/proxy/confirmer.hpp"
#include "cornellever/proxy/pooled_connection.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// A write, or a statement of a transaction, that got no answer by then is
/// given up, however far off the caller's deadline is: its connection may have
/// gone silent, and its locks stop other writers.
inline constexpr auto write_try_deadline = std::chrono::milliseconds{2000};

/// Bounds of what one request may wait for on its way to a backend.
struct link_limits {
    /// For a pooled connection of the primary, and of a replica (which has
    /// the primary to fall back to).
    std::chrono::milliseconds pool_wait{1000};
    std::chrono::milliseconds replica_pool_wait{20};
    /// Callers that may wait for a database to have a primary again.
    std::size_t max_primary_waiters{512};
};

/// What the traffic side knows of the backends and its connections to them:
/// the topology, a pool per instance, and the confirmer of writes.
/// Used from the traffic thread only.
class backend_links {
public:
    using clock = std::chrono::steady_clock;

    backend_links(asio::any_io_executor executor, link_limits limits);

    /// Takes the instances of a new configuration.
    void update(const config::cluster& config);

    /// Takes a heartbeat result; one that shows a new primary cuts the
    /// connections in use to an older one that does not answer.
    void record(const heartbeat& beat);

    /// Takes the platform's list of machines: those leaving, and how many
    /// proxies share each instance's connections.
    void set_machines(const std::set<std::string, std::less<>>& leaving, std::size_t proxies);

    /// What is known of the instances.
    [[nodiscard]] topology& known() noexcept { return m_topology; }
    [[nodiscard]] const topology& known() const noexcept { return m_topology; }

    /// The primary of a database in `min_term` or later, waiting until
    /// `until` for one to appear during a failover. Errors: `unavailable` (not run), saying when to
    /// come back; at once when too many callers wait already.
    asio::awaitable<result<instance_view>> await_primary(std::string_view service, std::string_view database,
                                                         clock::time_point until, std::uint64_t min_term = 0);

    /// A connection to `target`. Errors: `busy` (not run).
    asio::awaitable<result<pooled_connection>> acquire(const instance_view& target, std::chrono::milliseconds wait);

    /// One call on a connection of its own. Errors: those of
    /// `rpc::channel::call` and `acquire`; `bad_request` when the statement
    /// left a transaction open, which is undone.
    asio::awaitable<result<Json::Value>> call(const instance_view& target, std::string_view method,
                                              const Json::Value& payload, std::chrono::milliseconds pool_wait,
                                              std::chrono::milliseconds deadline);

    /// A connection with a transaction open on the primary `target`. Errors
    /// all say not run: nothing was asked of the transaction yet, and a
    /// connection in doubt is closed, which rolls back whatever it opened.
    asio::awaitable<result<pooled_connection>> begin(const instance_view& target, clock::time_point until,
                                                     std::chrono::milliseconds try_deadline);

    /// One call on a connection held by the caller, watched for silence.
    static asio::awaitable<result<Json::Value>> call_on(const pooled_connection& connection, std::string_view method,
                                                        const Json::Value& payload, std::chrono::milliseconds deadline);

    /// Rolls back and hands the connection on; one that is in doubt is closed,
    /// which rolls back as well.
    static asio::awaitable<void> undo(pooled_connection& connection, std::chrono::milliseconds deadline);

    /// Waits until a majority of the database's instances hold `mark`, which
    /// its primary has. Errors: `outcome_unknown`.
    asio::awaitable<result<void>> confirm(const instance_view& primary, write_mark mark,
                                          std::chrono::milliseconds wait);

    [[nodiscard]] const link_limits& limits() const noexcept { return m_limits; }

    /// Pools and how many callers wait for a primary, for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    [[nodiscard]] pool& pool_of(const instance_view& target);
    [[nodiscard]] std::size_t share_of(const instance_view& target) const;
    void resize_pools();
    void cut_replaced(const instance_view& leader);

    asio::any_io_executor m_executor;
    link_limits m_limits;
    topology m_topology;
    confirmer m_confirmer;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> m_pools;
    std::set<std::string, std::less<>> m_leaving;
    std::size_t m_proxies{1};
    std::size_t m_primary_waiters{0};
};

} // namespace cornellever::proxy
