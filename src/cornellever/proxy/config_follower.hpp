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

/// Key of the platform table row that holds the applied configuration.
inline constexpr std::string_view config_row = "config/current";

/// Interval between configuration polls, and the deadline of one call.
struct follower_limits {
    std::chrono::milliseconds poll{500};
    std::chrono::milliseconds call_deadline{400};
};

/// Polls the platform's table for the applied configuration. While the platform does not answer, the last
/// configuration stays in force and other proxies are asked for theirs. The version in force never decreases.
class config_follower {
public:
    /// `on_newer` is called with each newer configuration.
    config_follower(asio::any_io_executor executor, tcp::endpoint platform, std::vector<tcp::endpoint> peers,
                    follower_limits limits, std::function<void(config::cluster)> on_newer);

    /// Polls until the executor stops.
    asio::awaitable<void> run();

private:
    /// The row of the applied configuration if it is newer than the one in force, else null.
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
