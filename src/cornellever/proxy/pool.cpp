#include "cornellever/proxy/pool.hpp"

#include <algorithm>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

pool::pool(asio::any_io_executor executor, tcp::endpoint peer, std::size_t budget, std::size_t max_waiters)
    : m_executor{std::move(executor)}
    , m_peer{std::move(peer)}
    , m_budget{budget}
    , m_max_waiters{max_waiters} {}

asio::awaitable<result<pool::lease>> pool::acquire(std::chrono::milliseconds wait) {
    if (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        co_return connection;
    }
    if (m_open < m_budget) {
        ++m_open;
        co_return std::make_unique<rpc::channel>(m_executor, m_peer);
    }
    if (m_waiters.size() >= m_max_waiters) {
        log_event(event::pool_exhausted,
                  "instance=" + to_string(m_peer) + " waiters=" + std::to_string(m_waiters.size()));
        co_return fail(errc::busy, "all " + std::to_string(m_budget) + " connections to " + to_string(m_peer) +
                                       " are in use and the queue is full");
    }
    waiter me{asio::steady_timer{m_executor, wait}, std::nullopt};
    m_waiters.push_back(&me);
    boost::system::error_code ec;
    co_await me.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (me.granted) {
        co_return std::move(*me.granted);
    }
    std::erase(m_waiters, &me);
    co_return fail(errc::busy, "no connection to " + to_string(m_peer) + " came free within " +
                                   std::to_string(wait.count()) + " ms");
}

void pool::release(lease connection) {
    if (!connection->usable() || m_open > m_budget) {
        // A connection whose last call failed may still carry that call's
        // transaction on the backend; closing it makes the backend roll back.
        if (!connection->usable()) {
            log_event(event::connection_broken, "instance=" + to_string(m_peer));
        }
        connection->close();
        --m_open;
        hand_over();
        return;
    }
    m_idle.push_back(std::move(connection));
    hand_over();
}

void pool::discard(lease connection) {
    connection->close();
    --m_open;
    hand_over();
}

void pool::hand_over() {
    while (!m_waiters.empty()) {
        lease next;
        if (!m_idle.empty()) {
            next = std::move(m_idle.back());
            m_idle.pop_back();
        } else if (m_open < m_budget) {
            ++m_open;
            next = std::make_unique<rpc::channel>(m_executor, m_peer);
        } else {
            return;
        }
        auto* first = m_waiters.front();
        m_waiters.pop_front();
        first->granted = std::move(next);
        first->timer.cancel();
    }
}

Json::Value pool::describe() const {
    Json::Value out;
    out["budget"] = static_cast<Json::UInt64>(m_budget);
    out["open"] = static_cast<Json::UInt64>(m_open);
    out["idle"] = static_cast<Json::UInt64>(m_idle.size());
    out["waiting"] = static_cast<Json::UInt64>(m_waiters.size());
    return out;
}

} // namespace cornellever::proxy
