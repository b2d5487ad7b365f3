#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/proxy/router.hpp"

namespace cornellever::proxy {

/// The platform table row that holds the applied configuration.
inline constexpr std::string_view config_row = "config/current";

/// Periods and deadlines of the control path.
struct control_limits {
    std::chrono::milliseconds config_poll{500};
    std::chrono::milliseconds heartbeat{200};
    std::chrono::milliseconds call_deadline{400};
};

/// The control side of a proxy, on its own thread: follows the applied
/// configuration's version in the platform table and heartbeats every
/// instance, handing both to the router on the traffic thread.
class control {
public:
    control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router, tcp::endpoint platform,
            control_limits limits);

    /// Starts following the configuration.
    void start();

private:
    asio::awaitable<void> follow_config();
    asio::awaitable<void> probe(std::string key, tcp::endpoint address, std::uint64_t generation);
    void take(config::cluster config);

    asio::any_io_executor m_own;
    asio::any_io_executor m_traffic;
    router& m_router;
    tcp::endpoint m_platform;
    control_limits m_limits;
    std::uint64_t m_version{0};
    bool m_platform_failing{false};
    std::map<std::string, std::pair<tcp::endpoint, std::uint64_t>> m_probes;
    std::uint64_t m_generation{0};
};

} // namespace cornellever::proxy
