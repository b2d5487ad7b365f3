#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::rpc {

/// A client connection to an RPC server, kept open between calls. Calls on one
/// channel must not overlap; a pool checks it out to one caller at a time.
class channel {
public:
    /// Does not connect yet; the first call does.
    channel(asio::any_io_executor executor, tcp::endpoint peer);

    /// Calls `method` with `params`. Connecting, sending and receiving the response
    /// may take `time_limit` in all; with an `idle_timeout` that limit ends when the
    /// response begins to arrive, and the rest is read as by
    /// `read_with_idle_timeout`.
    /// Errors: `unavailable` when no connection could be made or the channel is
    /// unusable (the request was not sent); `outcome_unknown` when the request was
    /// sent but no valid response arrived in time, which makes the channel
    /// unusable; otherwise the error that the peer returned.
    asio::awaitable<result<Json::Value>> call(std::string_view method, const Json::Value& params,
                                              std::chrono::milliseconds time_limit,
                                              std::optional<std::chrono::milliseconds> idle_timeout = {});

    /// Whether the peer closed this idle connection, or sent unsolicited data: the
    /// outcome of a request sent on it would be unknown.
    [[nodiscard]] bool stale();

    /// False once a call has failed with `outcome_unknown` for lack of a valid
    /// response: every later call is refused.
    [[nodiscard]] bool usable() const noexcept { return !m_broken; }

    [[nodiscard]] const tcp::endpoint& peer() const noexcept { return m_peer; }

    /// Total bytes written and read, including HTTP headers.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return m_bytes_received; }

    /// Closes the connection; the next call reconnects.
    void close();

private:
    asio::awaitable<result<void>> connect();
    /// Closes the connection for good: `usable` is false afterwards.
    void close_as_broken();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    tcp::endpoint m_peer;
    std::uint64_t m_next_id{1};
    std::uint64_t m_bytes_sent{0};
    std::uint64_t m_bytes_received{0};
    bool m_connected{false};
    bool m_broken{false};
};

/// Makes one call on a new connection and blocks until the response or the time
/// limit; for threads without an io_context, such as the command line's.
[[nodiscard]] result<Json::Value> call_blocking(const tcp::endpoint& peer, std::string_view method,
                                                const Json::Value& params, std::chrono::milliseconds time_limit);

} // namespace cornellever::rpc
