#pragma once

#include "cornellever/core/asio.hpp"

namespace cornellever::emulator {

/// Passes each accepted connection to `handler` until the acceptor is closed.
template <std::invocable<tcp::socket> Handler>
asio::awaitable<void> accept_each(tcp::acceptor& acceptor, Handler handler) {
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec) {
            handler(std::move(socket));
        }
    }
}

} // namespace cornellever::emulator
