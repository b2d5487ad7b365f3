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
#include "cornellever/proxy/primary_monitor.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/proxy/settings.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// Intervals and deadlines of heartbeats and of polling the list of VMs.
struct control_limits {
    std::chrono::milliseconds vm_list_poll{1000};
    std::chrono::milliseconds call_deadline{400};
    std::chrono::milliseconds heartbeat_interval{200};
    std::chrono::milliseconds heartbeat_deadline{300};
    /// Heartbeat interval for the instances of a database whose primary has not responded for `primary_overdue_after`.
    std::chrono::milliseconds overdue_heartbeat_interval{40};
    std::chrono::milliseconds primary_overdue_after{300};
};

/// The control plane of a proxy, run on its own thread: sends heartbeats to every instance of the current
/// configuration, polls the list of VMs from the platform (the service that lists the VMs and keeps a small
/// table of shared data), starts failovers through `primary_monitor`, and passes the results to the router on the
/// traffic thread, which serves callers (client applications).
class control {
public:
    control(asio::any_io_executor control_executor, asio::any_io_executor traffic, router& traffic_router,
            const settings& own_settings, const state_chart& failover_steps, control_limits limits = {});

    /// Starts polling for the configuration and the VM list, and monitoring the primaries.
    void start();

private:
    asio::awaitable<void> poll_vm_list();
    asio::awaitable<void> probe(std::string key, tcp::endpoint address, std::uint64_t generation);
    [[nodiscard]] std::chrono::milliseconds heartbeat_pause(std::string_view key) const;
    void apply_config(config::cluster config);
    void apply_vm_list(const Json::Value& list);
    void record_heartbeat(const heartbeat& report);

    asio::any_io_executor m_control_executor;
    asio::any_io_executor m_traffic_executor;
    router& m_router;
    tcp::endpoint m_platform;
    control_limits m_limits;
    config::cluster m_config;
    topology m_topology;
    config_follower m_follower;
    primary_monitor m_primary_monitor;
    std::map<std::string, std::pair<tcp::endpoint, std::uint64_t>> m_probes;
    std::uint64_t m_generation{0};
};

} // namespace cornellever::proxy
