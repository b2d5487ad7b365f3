#pragma once

#include <chrono>
#include <cstdint>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::rpc {

/// A longer answer is refused.
inline constexpr std::uint64_t max_answer_bytes = std::uint64_t{16} * 1024 * 1024;

/// However slowly its pieces come, a message is given up after so long.
inline constexpr std::chrono::seconds max_transfer_time{15};

/// Reads an HTTP message of any length: its first piece by the time limit that
/// `stream` has, each further one within `piece_limit` of the one before. A limit
/// for the whole of a long message would end each transfer over a busy link just
/// as it ends that from a silent peer, and begin it anew. Returns the bytes read.
template <typename Parser>
asio::awaitable<std::size_t> read_with_idle_timeout(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                                                    Parser& parser, std::chrono::milliseconds piece_limit,
                                                    boost::system::error_code& ec) {
    const auto until = boot_clock::now() + max_transfer_time;
    std::size_t out = 0;
    parser.eager(true);
    while (!ec && !parser.is_done()) {
        out += co_await boost::beast::http::async_read_some(stream, buffer, parser,
                                                            asio::redirect_error(asio::use_awaitable, ec));
        if (!ec && !parser.is_done() && boot_clock::now() >= until) {
            ec = asio::error::timed_out;
        }
        stream.expires_after(piece_limit);
    }
    co_return out;
}

} // namespace cornellever::rpc
