#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/rpc/reconnecting_channel.hpp"

namespace cornellever::proxy {

/// Key of the applied configuration in the table of the platform, the service that lists the VMs and keeps a small
/// key-value store with versioned rows.
inline constexpr std::string_view config_row = "config/current";

/// Interval between polls for a newer configuration, and deadline of one call.
struct follower_limits {
    std::chrono::milliseconds poll{500};
    std::chrono::milliseconds call_deadline{400};
};

/// Polls the platform's table for the applied configuration. While the platform does not respond, this proxy keeps its
/// last configuration and asks the other proxies whether they have a newer one. The version that this proxy uses never
/// decreases.
class config_follower {
public:
    /// `on_newer` is called with each newer configuration; `peers` are the addresses of the other proxies.
    config_follower(asio::any_io_executor executor, tcp::endpoint platform, std::vector<tcp::endpoint> peers,
                    follower_limits limits, std::function<void(config::cluster)> on_newer);

    /// Polls in a loop until the executor stops.
    asio::awaitable<void> run();

private:
    /// Returns the table row of the applied configuration if its version is newer than the version in use, else null.
    asio::awaitable<result<Json::Value>> fetch_newer_row();
    asio::awaitable<void> fetch_from_peer();
    void apply(const Json::Value& row);
    void log_failure(const error& failure);

    asio::any_io_executor m_executor;
    rpc::reconnecting_channel m_platform;
    std::vector<tcp::endpoint> m_peers;
    follower_limits m_limits;
    std::function<void(config::cluster)> m_on_newer;
    std::uint64_t m_version{0};
    std::size_t m_next_peer{0};
    bool m_failing{false};
};

} // namespace cornellever::proxy
