#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

/// Limit of the wait queue for connections to one instance.
inline constexpr std::size_t default_max_waiters = 64;

/// A connection pool to one backend instance with at most `budget` open connections. A request without a free
/// connection waits in a bounded queue. If the queue is full or the wait times out, it is refused with `busy`, which
/// means it did not run. Used from the traffic thread only.
class pool {
public:
    using channel_ptr = std::unique_ptr<rpc::channel>;

    pool(asio::any_io_executor executor, tcp::endpoint peer, std::size_t budget,
         std::size_t max_waiters = default_max_waiters);

    /// Checks out a connection, waiting at most `wait`. Errors: `busy` if none became free in time; immediately, with
    /// a retry delay, if the wait queue is full.
    asio::awaitable<result<channel_ptr>> acquire(std::chrono::milliseconds wait);

    /// Returns a connection to the pool. A connection that a failed call left in an unknown state is closed.
    void release(channel_ptr connection);

    /// Closes a connection that must not be reused, such as one with an abandoned transaction; the backend rolls that
    /// back.
    void discard(channel_ptr connection);

    /// Has the backend roll back the transaction of its session `session`, over a new connection. Does not wait for
    /// the answer.
    void terminate(std::uint64_t session);

    /// Closes all idle connections. Called after a call timed out: whatever dropped that connection (a middlebox, a
    /// failing VM) has probably dropped the idle ones too, and each would cost another request a full timeout.
    void close_idle();

    /// Closes all connections in use. Called when an unresponsive instance was replaced, so that pending calls fail
    /// now instead of at their deadlines.
    void close_in_use();

    /// Sets a new budget; connections above it are closed when they are returned.
    void resize(std::size_t budget);

    /// While retired, the pool keeps no idle connections: the instance is leaving, and each connection is closed when
    /// its current work ends.
    void retire(bool retired);

    /// Open, idle and waiting counts, for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    struct waiter {
        asio::steady_timer timer;
        std::optional<channel_ptr> granted;
    };

    [[nodiscard]] channel_ptr take_idle();
    [[nodiscard]] channel_ptr check_out(channel_ptr connection);
    void serve_wait_queue();

    asio::any_io_executor m_executor;
    tcp::endpoint m_peer;
    std::size_t m_budget;
    std::size_t m_max_waiters;
    std::size_t m_open{0};
    bool m_retired{false};
    std::vector<channel_ptr> m_idle;
    std::set<rpc::channel*> m_in_use;
    std::deque<waiter*> m_wait_queue;
};

} // namespace cornellever::proxy
