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

/// Maximum number of requests that wait for a connection to one instance.
inline constexpr std::size_t default_max_waiters = 64;

/// A pool of at most `budget` open connections to one backend instance. If no connection is free, a request waits in a
/// bounded queue. If the queue is full or the wait times out, the request is refused with `busy`, which means that it
/// did not run. Used from the traffic thread only (the thread that serves callers).
class pool {
public:
    using channel_ptr = std::unique_ptr<rpc::channel>;

    pool(asio::any_io_executor executor, tcp::endpoint peer, std::size_t budget,
         std::size_t max_waiters = default_max_waiters);

    /// Checks out a connection, waiting at most `wait`. Errors: `busy` if no connection became free in time; `busy`
    /// with a retry delay, without waiting, if the wait queue is full.
    asio::awaitable<result<channel_ptr>> acquire(std::chrono::milliseconds wait);

    /// Returns a connection to the pool. Closes the connection instead if a failed call left it in an unknown state, if
    /// the pool is over its budget, or if the pool is retired.
    void release(channel_ptr connection);

    /// Closes a connection that must not be reused, such as one with an abandoned transaction; the backend server rolls
    /// that transaction back.
    void discard(channel_ptr connection);

    /// Makes the backend server roll back the transaction of its session `session`, by a request over a new connection.
    /// Does not wait for the response.
    void terminate(std::uint64_t session);

    /// Closes all idle connections. Called after a call timed out: the cause (a middlebox that drops connections, a
    /// failing VM) has probably broken the idle connections too, and each of them would cost another request a
    /// full timeout.
    void close_idle();

    /// Closes all connections in use. Called when an unresponsive primary has been replaced, so that pending calls to
    /// it fail immediately instead of at their deadlines.
    void close_in_use();

    /// Sets a new budget. Closes idle connections above the budget immediately, and connections in use when they are
    /// returned.
    void resize(std::size_t budget);

    /// Closes the idle connections if `retired` is true, and from then on each connection when it is returned. Used for
    /// an instance that is leaving (its VM is being taken out of service).
    void retire(bool retired);

    /// Returns the budget and the counts of open connections, idle connections and waiting requests, for the state
    /// dump.
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
