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

/// Maximum deadline of one write or transaction statement sent to a backend server, even if the caller (the client
/// application) allows more time: the connection to the server may be dead, and the locks that its transaction holds
/// block other writers.
inline constexpr auto write_attempt_deadline = std::chrono::milliseconds{2000};

/// Limits on the waiting of a request before it is sent to a backend server.
struct connection_limits {
    /// Longest wait for a pooled connection to a primary (`pool_wait`) and to a replica (`replica_pool_wait`). The wait
    /// for a replica is shorter because the read can be sent to the primary instead.
    std::chrono::milliseconds pool_wait{1000};
    std::chrono::milliseconds replica_pool_wait{20};
    /// Maximum number of requests that wait concurrently for a database without a primary to have one again.
    std::size_t max_primary_waiters{512};
};

/// The proxy's view of the backend instances (topology), one connection pool per instance, and the confirmer, which
/// waits until writes are replicated. Used from the traffic thread only (the thread that serves callers).
class backend_connections {
public:
    using clock = std::chrono::steady_clock;

    backend_connections(asio::any_io_executor executor, connection_limits limits);

    /// Applies the instances of a new configuration.
    void update(const config::cluster& config);

    /// Applies a heartbeat result. If the heartbeat shows a new primary, closes the connections in use to unresponsive
    /// instances of the same database that are still in an earlier term.
    void record(const heartbeat& report);

    /// Applies the list of VMs from the platform, the external service that keeps the configuration and this list.
    /// `leaving` holds the VMs that are being taken out of service; `proxies` is the number of running proxies,
    /// which share each instance's connections equally.
    void set_vms(const std::set<std::string, std::less<>>& leaving, std::size_t proxies);

    /// Returns the backend instances with their last reported state.
    [[nodiscard]] topology& known_instances() noexcept { return m_topology; }
    [[nodiscard]] const topology& known_instances() const noexcept { return m_topology; }

    /// Returns the primary of a database if its term is at least `min_term`. If there is none, as during a failover,
    /// waits for one until `until`. Errors: `unavailable` (the request did not run) with a retry delay; returned
    /// without waiting if `max_primary_waiters` requests are waiting already.
    asio::awaitable<result<instance_view>> await_primary(std::string_view service, std::string_view database,
                                                         clock::time_point until, std::uint64_t min_term = 0);

    /// Checks out a connection to `target`, waiting at most `wait` for a free one. Errors: `busy` (the request did not
    /// run).
    asio::awaitable<result<pooled_connection>> acquire(const instance_view& target, std::chrono::milliseconds wait);

    /// Checks out a connection to `target`, makes one call on it and returns the connection to its pool. Errors: those
    /// of `rpc::channel::call` and `acquire`; `bad_request` if the statement left a transaction open, which is then
    /// rolled back.
    asio::awaitable<result<Json::Value>> call(const instance_view& target, std::string_view method,
                                              const Json::Value& payload, std::chrono::milliseconds pool_wait,
                                              std::chrono::milliseconds deadline);

    /// Checks out a connection to the primary `target` and opens a transaction on it. Every error means that nothing
    /// ran: no statement was sent yet, and a connection in an unknown state is closed, so that the backend server rolls
    /// back any transaction opened on it.
    asio::awaitable<result<pooled_connection>> begin(const instance_view& target, clock::time_point until,
                                                     std::chrono::milliseconds attempt_deadline);

    /// Makes one call on a connection that is already checked out. If the call times out, closes the idle connections
    /// of the same pool.
    static asio::awaitable<result<Json::Value>> call_on(const pooled_connection& connection, std::string_view method,
                                                        const Json::Value& payload, std::chrono::milliseconds deadline);

    /// Rolls back the transaction open on `connection` and returns the connection to its pool. If the rollback fails,
    /// closes the connection, which makes the backend server roll back.
    static asio::awaitable<void> roll_back(pooled_connection& connection, std::chrono::milliseconds deadline);

    /// Waits until a majority of the database's instances, including `primary`, hold the log entry `entry`. Errors:
    /// `outcome_unknown`.
    asio::awaitable<result<void>> confirm(const instance_view& primary, term_position entry,
                                          std::chrono::milliseconds wait);

    [[nodiscard]] const connection_limits& limits() const noexcept { return m_limits; }

    /// Returns the pools and the number of requests waiting for a primary, for the state dump.
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
