#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/config_follower.hpp"
#include "cornellever/proxy/primary_keeper.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/proxy/settings.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// Periods and deadlines of heartbeats and of the list of machines.
struct control_limits {
    std::chrono::milliseconds machines_poll{1000};
    std::chrono::milliseconds call_deadline{400};
    std::chrono::milliseconds heartbeat{200};
    std::chrono::milliseconds heartbeat_deadline{300};
    /// While a database's primary has not answered for `overdue`.
    std::chrono::milliseconds urgent_heartbeat{40};
    std::chrono::milliseconds overdue{300};
};

/// The control side of a proxy, on its own thread: heartbeats every instance
/// of the configuration in force, follows the list of machines, and hands
/// what it learns to the router on the traffic thread.
class control {
public:
    control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router,
            const settings& own_settings, const state_chart& failover_steps, control_limits limits = {});

    /// Starts every loop.
    void start();

private:
    asio::awaitable<void> follow_machines();
    asio::awaitable<void> probe(std::string key, tcp::endpoint address, std::uint64_t generation);
    [[nodiscard]] std::chrono::milliseconds heartbeat_pause(std::string_view key) const;
    void take_config(config::cluster config);
    void take_machines(const Json::Value& list);
    void learn(const heartbeat& beat);

    asio::any_io_executor m_own;
    asio::any_io_executor m_traffic;
    router& m_router;
    tcp::endpoint m_platform;
    control_limits m_limits;
    config::cluster m_config;
    topology m_topology;
    config_follower m_follower;
    primary_keeper m_keeper;
    std::map<std::string, std::pair<tcp::endpoint, std::uint64_t>> m_probes;
    std::uint64_t m_generation{0};
};

} // namespace cornellever::proxy
