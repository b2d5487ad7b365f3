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
/// channel must not overlap; a connection pool gives a channel to one user at a
/// time.
class channel {
public:
    /// Does not connect; the first call connects.
    channel(asio::any_io_executor executor, tcp::endpoint peer);

    /// Calls `method` with `params`. `time_limit` covers connecting, sending and
    /// receiving the response. With an `idle_timeout`, `time_limit` ends when the
    /// response begins to arrive, and the rest of the response is read as by
    /// `read_with_idle_timeout`. Errors: `unavailable` when no connection could
    /// be made or the channel is unusable, so that the request was not sent;
    /// `outcome_unknown` when the request was sent but no valid response arrived
    /// in time, after which the channel is unusable; otherwise the error that the
    /// server returned.
    asio::awaitable<result<Json::Value>> call(std::string_view method, const Json::Value& params,
                                              std::chrono::milliseconds time_limit,
                                              std::optional<std::chrono::milliseconds> idle_timeout = {});

    /// Whether the server has closed this idle connection or sent unsolicited
    /// data. The outcome of a request sent on such a connection would be unknown.
    [[nodiscard]] bool stale();

    /// Returns false after a call has failed with `outcome_unknown` because no
    /// valid response arrived. All later calls are then refused.
    [[nodiscard]] bool usable() const noexcept { return !m_broken; }

    [[nodiscard]] const tcp::endpoint& peer() const noexcept { return m_peer; }

    /// Total bytes written and read, including HTTP headers.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return m_bytes_received; }

    /// Closes the connection; the next call reconnects.
    void close();

private:
    asio::awaitable<result<void>> connect();
    /// Closes the connection permanently; `usable` then returns false.
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

/// Makes one call on a new connection and blocks until the response arrives or
/// the time limit expires. For threads without an io_context, such as the main
/// thread of the command-line tool.
[[nodiscard]] result<Json::Value> call_blocking(const tcp::endpoint& peer, std::string_view method,
                                                const Json::Value& params, std::chrono::milliseconds time_limit);

} // namespace cornellever::rpc
