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

/// Most callers that may wait for a connection of one instance at once.
inline constexpr std::size_t default_max_waiters = 64;

/// The connections of this proxy to one backend instance, at most `budget`
/// open at once. A caller waits in a bounded queue for a free one, and is
/// refused early and honestly ("busy", not run) when the queue is full or
/// the wait runs out. Used from the traffic thread only.
class pool {
public:
    using lease = std::unique_ptr<rpc::channel>;

    pool(asio::any_io_executor executor, tcp::endpoint peer, std::size_t budget,
         std::size_t max_waiters = default_max_waiters);

    /// A connection for one caller, waiting at most `wait`.
    /// Errors: `busy` when none came free in time, or at once, saying when to
    /// come back, when the queue is full.
    asio::awaitable<result<lease>> acquire(std::chrono::milliseconds wait);

    /// Gives a connection back; one left in doubt by a failed call is closed.
    void release(lease connection);

    /// Closes a connection that must not be reused, such as one that holds
    /// an abandoned transaction: the backend rolls back what it held.
    void discard(lease connection);

    /// Has the backend undo the transaction of the connection it calls
    /// `session`, over a fresh connection; nothing waits for it.
    void terminate(std::uint64_t session);

    /// Closes every idle connection. Called when a call timed out: whatever
    /// lost track of that connection (a middlebox, a half-dead machine) has
    /// likely lost the idle ones too, and each would cost another caller a
    /// whole deadline to find out.
    void suspect_idle();

    /// Cuts every connection in use: the instance was replaced while it did
    /// not answer, and whoever waits for it would wait out a deadline.
    void break_in_use();

    /// Sets a new budget; connections over it close as they come back.
    void resize(std::size_t budget);

    /// Closes idle connections and keeps none from now on: the instance is
    /// leaving and its connections are to end with the work under way.
    void retire(bool retired);

    /// Open, idle and waiting counts, for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    struct waiter {
        asio::steady_timer timer;
        std::optional<lease> granted;
    };

    [[nodiscard]] lease take_idle();
    [[nodiscard]] lease lend(lease connection);
    void hand_over();

    asio::any_io_executor m_executor;
    tcp::endpoint m_peer;
    std::size_t m_budget;
    std::size_t m_max_waiters;
    std::size_t m_open{0};
    bool m_retired{false};
    std::vector<lease> m_idle;
    std::set<rpc::channel*> m_in_use;
    std::deque<waiter*> m_waiters;
};

} // namespace cornellever::proxy
