#include "cornellever/proxy/pool.hpp"

#include <algorithm>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto queue_retry_after = std::chrono::milliseconds{500};
constexpr auto terminate_deadline = std::chrono::milliseconds{1000};

} // namespace

pool::pool(asio::any_io_executor executor, tcp::endpoint peer, std::size_t budget, std::size_t max_waiters)
    : m_executor{std::move(executor)}
    , m_peer{std::move(peer)}
    , m_budget{budget}
    , m_max_waiters{max_waiters} {}

asio::awaitable<result<pool::channel_ptr>> pool::acquire(std::chrono::milliseconds wait) {
    if (auto connection = take_idle()) {
        co_return check_out(std::move(connection));
    }
    if (m_open < m_budget) {
        ++m_open;
        co_return check_out(std::make_unique<rpc::channel>(m_executor, m_peer));
    }
    if (m_wait_queue.size() >= m_max_waiters) {
        log_event(event::pool_exhausted,
                  "instance=" + to_string(m_peer) + " waiters=" + std::to_string(m_wait_queue.size()));
        co_return fail_with_retry_after(errc::busy,
                                        "all " + std::to_string(m_budget) + " connections to " + to_string(m_peer) +
                                            " are in use and the queue is full",
                                        queue_retry_after);
    }
    waiter entry{asio::steady_timer{m_executor, wait}, std::nullopt};
    m_wait_queue.push_back(&entry);
    boost::system::error_code ec;
    co_await entry.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (entry.granted) {
        co_return std::move(*entry.granted);
    }
    std::erase(m_wait_queue, &entry);
    co_return fail(errc::busy, "no connection to " + to_string(m_peer) + " came free within " +
                                   std::to_string(wait.count()) + " ms");
}

pool::channel_ptr pool::check_out(channel_ptr connection) {
    m_in_use.insert(connection.get());
    return connection;
}

void pool::close_in_use() {
    for (auto* connection : m_in_use) {
        connection->close();
    }
}

pool::channel_ptr pool::take_idle() {
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        // The backend server may have closed the idle connection (a restart, an idle timeout). The outcome of a request
        // sent on a closed connection would be unknown.
        if (!connection->stale()) {
            return connection;
        }
        connection->close();
        --m_open;
    }
    return nullptr;
}

void pool::terminate(std::uint64_t session) {
    asio::co_spawn(
        m_executor,
        [](asio::any_io_executor executor, tcp::endpoint peer, std::uint64_t name) -> asio::awaitable<void> {
            rpc::channel channel{executor, peer};
            Json::Value params;
            params["session"] = static_cast<Json::UInt64>(name);
            (void)co_await channel.call("terminate", params, terminate_deadline);
        }(m_executor, m_peer, session),
        asio::detached);
}

void pool::close_idle() {
    log_event(event::connections_suspect,
              "instance=" + to_string(m_peer) + " idle_closed=" + std::to_string(m_idle.size()));
    m_open -= m_idle.size();
    m_idle.clear();
    serve_wait_queue();
}

void pool::resize(std::size_t budget) {
    m_budget = budget;
    while (m_open > m_budget && !m_idle.empty()) {
        m_idle.pop_back();
        --m_open;
    }
    serve_wait_queue();
}

void pool::retire(bool retired) {
    m_retired = retired;
    if (retired) {
        m_open -= m_idle.size();
        m_idle.clear();
    }
}

void pool::release(channel_ptr connection) {
    m_in_use.erase(connection.get());
    if (!connection->usable() || m_open > m_budget || m_retired) {
        // If the last call on the connection failed, the backend server may still have that call's transaction open.
        // Closing the connection makes the server roll the transaction back.
        if (!connection->usable()) {
            log_event(event::connection_broken, "instance=" + to_string(m_peer));
        }
        connection->close();
        --m_open;
        serve_wait_queue();
        return;
    }
    m_idle.push_back(std::move(connection));
    serve_wait_queue();
}

void pool::discard(channel_ptr connection) {
    m_in_use.erase(connection.get());
    connection->close();
    --m_open;
    serve_wait_queue();
}

void pool::serve_wait_queue() {
    while (!m_wait_queue.empty()) {
        auto next = take_idle();
        if (!next && m_open >= m_budget) {
            return;
        }
        if (!next) {
            ++m_open;
            next = std::make_unique<rpc::channel>(m_executor, m_peer);
        }
        auto* first = m_wait_queue.front();
        m_wait_queue.pop_front();
        first->granted = check_out(std::move(next));
        first->timer.cancel();
    }
}

Json::Value pool::describe() const {
    Json::Value out;
    out["budget"] = static_cast<Json::UInt64>(m_budget);
    out["open"] = static_cast<Json::UInt64>(m_open);
    out["idle"] = static_cast<Json::UInt64>(m_idle.size());
    out["waiting"] = static_cast<Json::UInt64>(m_wait_queue.size());
    return out;
}

} // namespace cornellever::proxy
