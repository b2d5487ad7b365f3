#pragma once

#include <chrono>
#include <memory>
#include <string_view>

#include "cornellever/rpc/channel.hpp"

namespace cornellever::rpc {

/// A connection for calls made again and again: one that is left in doubt by
/// a failed call is replaced, so that the next call starts on a fresh one.
class reconnecting_channel {
public:
    reconnecting_channel(asio::any_io_executor executor, tcp::endpoint peer)
        : m_executor{std::move(executor)}
        , m_peer{std::move(peer)} {}

    /// As `channel::call`.
    asio::awaitable<result<Json::Value>> call(std::string_view method, const Json::Value& params,
                                              std::chrono::milliseconds deadline) {
        if (!m_link || !m_link->usable()) {
            m_link = std::make_unique<channel>(m_executor, m_peer);
        }
        co_return co_await m_link->call(method, params, deadline);
    }

private:
    asio::any_io_executor m_executor;
    tcp::endpoint m_peer;
    std::unique_ptr<channel> m_link;
};

} // namespace cornellever::rpc
