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

/// One client connection to a peer, kept open between calls. Calls on one
/// channel must not overlap; a pool hands a channel to one caller at a time.
class channel {
public:
    /// A channel to `peer`; it connects on its first call.
    channel(asio::any_io_executor executor, tcp::endpoint peer);

    /// Calls `method` with `params` and waits at most `deadline` in all.
    /// Errors: `unavailable` when no connection could be made (not run);
    /// `outcome_unknown` when the request was sent but no whole answer came
    /// back in time, after which the channel is closed; otherwise the error
    /// the peer answered with.
    /// With a `piece_limit` the deadline is that of the answer's beginning, and a
    /// long answer may take longer, as `read_with_idle_timeout` says.
    asio::awaitable<result<Json::Value>> call(std::string_view method, const Json::Value& params,
                                              std::chrono::milliseconds deadline,
                                              std::optional<std::chrono::milliseconds> piece_limit = {});

    /// True when the peer closed this idle connection (or sent something
    /// nobody asked for): a request sent on it would end in doubt.
    [[nodiscard]] bool stale();

    /// False once a call failed in a way that leaves the connection in doubt.
    [[nodiscard]] bool usable() const noexcept { return !m_broken; }

    /// The peer this channel talks to.
    [[nodiscard]] const tcp::endpoint& peer() const noexcept { return m_peer; }

    /// Bytes written and read on this channel so far, HTTP headers included.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept { return m_bytes_received; }

    /// Closes the connection; the next call reconnects.
    void close();

private:
    asio::awaitable<result<void>> connect();
    void break_off();

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    tcp::endpoint m_peer;
    std::uint64_t m_next_id{1};
    std::uint64_t m_bytes_sent{0};
    std::uint64_t m_bytes_received{0};
    bool m_connected{false};
    bool m_broken{false};
};

/// Makes one call on a fresh connection from a thread with no io_context
/// of its own (the command line); blocks until the answer or the deadline.
[[nodiscard]] result<Json::Value> call_blocking(const tcp::endpoint& peer, std::string_view method,
                                                const Json::Value& params, std::chrono::milliseconds deadline);

} // namespace cornellever::rpc
