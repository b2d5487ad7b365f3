#pragma once

#include "cornellever/core/asio.hpp"

namespace cornellever::emulator {

/// Hands each connection to `take` until the acceptor is closed.
template <std::invocable<tcp::socket> Take>
asio::awaitable<void> accept_each(tcp::acceptor& acceptor, Take take) {
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            take(std::move(socket));
        }
    }
}

} // namespace cornellever::emulator
