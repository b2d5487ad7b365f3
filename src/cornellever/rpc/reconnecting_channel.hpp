#pragma once

#include <chrono>
#include <memory>
#include <string_view>

#include "cornellever/rpc/channel.hpp"

namespace cornellever::rpc {

/// Makes repeated calls to one server. After a failed call that left the
/// connection unusable, the next call opens a new connection.
class reconnecting_channel {
public:
    reconnecting_channel(asio::any_io_executor executor, tcp::endpoint peer)
        : m_executor{std::move(executor)}
        , m_peer{std::move(peer)} {}

    /// As `channel::call`.
    asio::awaitable<result<Json::Value>> call(std::string_view method, const Json::Value& params,
                                              std::chrono::milliseconds time_limit) {
        if (!m_channel || !m_channel->usable()) {
            m_channel = std::make_unique<channel>(m_executor, m_peer);
        }
        co_return co_await m_channel->call(method, params, time_limit);
    }

private:
    asio::any_io_executor m_executor;
    tcp::endpoint m_peer;
    std::unique_ptr<channel> m_channel;
};

} // namespace cornellever::rpc
