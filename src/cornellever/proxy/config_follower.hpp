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

/// The platform table row that holds the applied configuration.
inline constexpr std::string_view config_row = "config/current";

/// How often the configuration is asked for, and how long one call may take.
struct follow_limits {
    std::chrono::milliseconds poll{500};
    std::chrono::milliseconds call_deadline{400};
};

/// Follows the applied configuration in the platform's table. While the
/// platform does not answer, the last good one stays in force and other
/// proxies are asked for theirs. A version never goes back.
class config_follower {
public:
    /// `on_newer` is called with each newer configuration.
    config_follower(asio::any_io_executor executor, tcp::endpoint platform, std::vector<tcp::endpoint> peers,
                    follow_limits limits, std::function<void(config::cluster)> on_newer);

    /// Follows for ever.
    asio::awaitable<void> run();

private:
    /// The applied configuration's row when it is newer than the one in
    /// force; null when it is not.
    asio::awaitable<result<Json::Value>> newer_row();
    asio::awaitable<void> ask_peer();
    void take(const Json::Value& row);
    void note_failure(const error& failure);

    asio::any_io_executor m_executor;
    rpc::reconnecting_channel m_platform;
    std::vector<tcp::endpoint> m_peers;
    follow_limits m_limits;
    std::function<void(config::cluster)> m_on_newer;
    std::uint64_t m_version{0};
    std::size_t m_next_peer{0};
    bool m_failing{false};
};

} // namespace cornellever::proxy
