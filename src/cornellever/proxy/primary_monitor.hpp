#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/backoff.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/backend_group.hpp"
#include "cornellever/proxy/failover.hpp"
#include "cornellever/proxy/platform_store.hpp"
#include "cornellever/proxy/primary_health.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// Intervals and deadlines of monitoring primaries.
struct monitor_limits {
    std::chrono::milliseconds check_interval{50};
    std::chrono::milliseconds call_deadline{400};
    /// If a replica is still in contact with the primary: how long this proxy must fail to reach the primary before it
    /// asks the other proxies whether they reach it.
    std::chrono::milliseconds unreachable_timeout{1000};
};

/// Monitors the primary of every database by heartbeats. Starts a failover when the primary is lost, when its VM
/// is leaving (being taken out of service), or when a majority of the proxies cannot reach it.
class primary_monitor {
public:
    using clock = std::chrono::steady_clock;

    /// Reads the state of the instances from `current_topology`. `on_promoted` is called after each promotion with a
    /// heartbeat that is built from the outcome, so that the new primary is known before its first real heartbeat
    /// arrives. `peers` are the addresses of the other proxies.
    primary_monitor(const asio::any_io_executor& executor, const topology& current_topology,
                    const tcp::endpoint& platform, std::vector<tcp::endpoint> peers, std::string name,
                    const state_chart& failover_steps, monitor_limits limits,
                    std::function<void(const heartbeat&)> on_promoted);

    /// Checks the databases of `config` periodically; `config` may change between checks.
    asio::awaitable<void> run(const config::cluster& config);

private:
    void check_primary(const std::string& service, const std::string& database, clock::time_point now);
    asio::awaitable<void> replace_if_peers_agree(std::string service, std::string database);
    asio::awaitable<std::vector<primary_observation>> query_peers(const std::string& service,
                                                                  const std::string& database);
    asio::awaitable<void> replace(std::string service, std::string database, bool planned);
    asio::awaitable<void> handle_outcome(const std::string& database, const failover_outcome& outcome);

    asio::any_io_executor m_executor;
    const topology& m_topology;
    std::vector<tcp::endpoint> m_peers;
    monitor_limits m_limits;
    platform_store m_store;
    backend_group m_group;
    failover<platform_store, backend_group> m_failover;
    std::function<void(const heartbeat&)> m_on_promoted;
    /// Databases for which a failover, the query of the other proxies before it, or the pause after a failed attempt is
    /// in progress.
    std::set<std::string> m_replacing;
    std::map<std::string, backoff> m_backoffs;
    /// Time at which each database's primary became unreachable for this proxy.
    std::map<std::string, clock::time_point> m_unreachable_since;
};

} // namespace cornellever::proxy
