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

/// Deadline of one write or transaction statement, however late the caller's own deadline is: its connection may be
/// dead, and the locks it holds block other writers.
inline constexpr auto write_attempt_deadline = std::chrono::milliseconds{2000};

/// Limits on what one request may wait for before it reaches a backend.
struct connection_limits {
    /// Longest wait for a pooled connection of the primary, and of a replica. The replica's is shorter because the
    /// read can fall back to the primary.
    std::chrono::milliseconds pool_wait{1000};
    std::chrono::milliseconds replica_pool_wait{20};
    /// Requests that may wait at the same time for a database to have a primary again.
    std::size_t max_primary_waiters{512};
};

/// The backend instances as known on the traffic thread and the connections to them: the topology, one connection pool
/// per instance, and the confirmer of writes. Used from the traffic thread only.
class backend_connections {
public:
    using clock = std::chrono::steady_clock;

    backend_connections(asio::any_io_executor executor, connection_limits limits);

    /// Applies the instances of a new configuration.
    void update(const config::cluster& config);

    /// Applies a heartbeat result. If it shows a new primary, closes the connections in use to older primaries that do
    /// not answer.
    void record(const heartbeat& report);

    /// Applies the platform's VM list: the VMs that are leaving, and the number of proxies that share each
    /// instance's connections.
    void set_vms(const std::set<std::string, std::less<>>& leaving, std::size_t proxies);

    /// The instances with their last reported state.
    [[nodiscard]] topology& known_instances() noexcept { return m_topology; }
    [[nodiscard]] const topology& known_instances() const noexcept { return m_topology; }

    /// The primary of a database in `min_term` or later. During a failover waits until `until` for one to appear.
    /// Errors: `unavailable` (not run) with a retry delay; returned immediately if too many requests are waiting
    /// already.
    asio::awaitable<result<instance_view>> await_primary(std::string_view service, std::string_view database,
                                                         clock::time_point until, std::uint64_t min_term = 0);

    /// Checks out a connection to `target`. Errors: `busy` (not run).
    asio::awaitable<result<pooled_connection>> acquire(const instance_view& target, std::chrono::milliseconds wait);

    /// Makes one call on a connection checked out for it. Errors: those of `rpc::channel::call` and `acquire`;
    /// `bad_request` if the statement left a transaction open, which is rolled back.
    asio::awaitable<result<Json::Value>> call(const instance_view& target, std::string_view method,
                                              const Json::Value& payload, std::chrono::milliseconds pool_wait,
                                              std::chrono::milliseconds deadline);

    /// Checks out a connection and opens a transaction on the primary `target`. Every error means that nothing ran: no
    /// statement was sent yet, and a connection in an unknown state is closed, which rolls back whatever was opened on
    /// it.
    asio::awaitable<result<pooled_connection>> begin(const instance_view& target, clock::time_point until,
                                                     std::chrono::milliseconds attempt_deadline);

    /// Makes one call on a connection that the caller has checked out. If the call times out, closes the pool's idle
    /// connections.
    static asio::awaitable<result<Json::Value>> call_on(const pooled_connection& connection, std::string_view method,
                                                        const Json::Value& payload, std::chrono::milliseconds deadline);

    /// Rolls back and returns the connection to its pool. A connection in an unknown state is closed, which rolls back
    /// as well.
    static asio::awaitable<void> roll_back(pooled_connection& connection, std::chrono::milliseconds deadline);

    /// Waits until a majority of the database's instances hold `entry`, which its primary already holds. Errors:
    /// `outcome_unknown`.
    asio::awaitable<result<void>> confirm(const instance_view& primary, term_position entry,
                                          std::chrono::milliseconds wait);

    [[nodiscard]] const connection_limits& limits() const noexcept { return m_limits; }

    /// The pools and the number of requests waiting for a primary, for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    [[nodiscard]] pool& pool_for(const instance_view& target);
    [[nodiscard]] std::size_t connection_share(const instance_view& target) const;
    void resize_pools();
    void disconnect_replaced(const instance_view& new_primary);

    asio::any_io_executor m_executor;
    connection_limits m_limits;
    topology m_topology;
    confirmer m_confirmer;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> m_pools;
    std::set<std::string, std::less<>> m_leaving;
    std::size_t m_proxies{1};
    std::size_t m_primary_waiters{0};
};

} // namespace cornellever::proxy
