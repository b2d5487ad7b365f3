#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/chart.hpp"
#include "cornellever/proxy/backend_group.hpp"
#include "cornellever/proxy/backoff.hpp"
#include "cornellever/proxy/failover.hpp"
#include "cornellever/proxy/platform_store.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/proxy/suspicion.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// The platform table row that holds the applied configuration.
inline constexpr std::string_view config_row = "config/current";

/// Periods and deadlines of the control path.
struct control_limits {
    std::chrono::milliseconds config_poll{500};
    std::chrono::milliseconds machines_poll{1000};
    std::chrono::milliseconds heartbeat{200};
    std::chrono::milliseconds heartbeat_deadline{300};
    /// While a database's primary has not answered for `overdue`.
    std::chrono::milliseconds urgent_heartbeat{40};
    std::chrono::milliseconds overdue{300};
    /// How long a primary that a replica hears must not answer this proxy
    /// before the other proxies are asked about it.
    std::chrono::milliseconds unreachable_for{1000};
    std::chrono::milliseconds judge_every{50};
    std::chrono::milliseconds call_deadline{400};
};

/// The control side of a proxy, on its own thread: follows the applied
/// configuration and the list of machines in the platform, heartbeats every
/// instance, replaces primaries that are lost or leaving, and hands what it
/// learns to the router on the traffic thread.
class control {
public:
    /// `peers` are other proxies, asked for the configuration while the
    /// platform does not answer.
    control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router, tcp::endpoint platform,
            std::vector<tcp::endpoint> peers, std::string name, const chart& failover_steps, control_limits limits);

    /// Starts every loop.
    void start();

private:
    asio::awaitable<void> follow_config();
    asio::awaitable<void> follow_machines();
    asio::awaitable<void> probe(std::string key, tcp::endpoint address, std::uint64_t generation);
    [[nodiscard]] std::chrono::milliseconds heartbeat_pause(std::string_view key) const;
    asio::awaitable<void> watch_primaries();
    void watch(const std::string& service, const std::string& database, std::chrono::steady_clock::time_point now);
    asio::awaitable<void> replace_unreachable(std::string service, std::string database);
    asio::awaitable<std::vector<peer_word>> ask_about_primary(const std::string& service, const std::string& database);
    asio::awaitable<void> replace_primary(std::string service, std::string database, bool planned);
    asio::awaitable<void> ask_peer();
    void take(const Json::Value& row);
    void take(config::cluster config);
    void take_machines(const Json::Value& list);
    void learn(const heartbeat& beat);

    asio::any_io_executor m_own;
    asio::any_io_executor m_traffic;
    router& m_router;
    tcp::endpoint m_platform;
    std::vector<tcp::endpoint> m_peers;
    std::size_t m_next_peer{0};
    control_limits m_limits;
    platform_store m_store;
    backend_group m_group;
    failover<platform_store, backend_group> m_failover;
    config::cluster m_config;
    topology m_topology;
    bool m_platform_failing{false};
    std::map<std::string, std::pair<tcp::endpoint, std::uint64_t>> m_probes;
    /// Databases whose primary is being replaced, and the pause after a try
    /// that did not replace it, during which they stay listed.
    std::set<std::string> m_replacing;
    std::map<std::string, backoff> m_retries;
    /// Since when a database's primary is unreachable from here.
    std::map<std::string, std::chrono::steady_clock::time_point> m_unreachable;
    std::uint64_t m_generation{0};
};

} // namespace cornellever::proxy
