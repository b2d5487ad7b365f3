#pragma once

#include <chrono>
#include <cstdint>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::rpc {

/// Longer HTTP responses are rejected.
inline constexpr std::uint64_t max_answer_bytes = std::uint64_t{16} * 1024 * 1024;

/// Maximum time to transfer one message, even while data keeps arriving.
inline constexpr std::chrono::seconds max_transfer_time{15};

/// Reads an HTTP message and returns the number of bytes read. The expiry already
/// set on `stream` limits the first read, `idle_timeout` each later read, and
/// `max_transfer_time` the whole message. A short limit on the whole message
/// could not distinguish a slow transfer over a busy link from a peer that has
/// stopped sending, so long messages would be aborted and restarted again and
/// again.
template <typename Parser>
asio::awaitable<std::size_t> read_with_idle_timeout(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                                                    Parser& parser, std::chrono::milliseconds idle_timeout,
                                                    boost::system::error_code& ec) {
    const auto deadline = boot_clock::now() + max_transfer_time;
    std::size_t bytes_read = 0;
    parser.eager(true);
    while (!ec && !parser.is_done()) {
        bytes_read += co_await boost::beast::http::async_read_some(stream, buffer, parser,
                                                                   asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && !parser.is_done() && boot_clock::now() >= deadline) {
            ec = asio::error::timed_out;
        }
        stream.expires_after(idle_timeout);
    }
    co_return bytes_read;
}

} // namespace cornellever::rpc
