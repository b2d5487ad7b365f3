#pragma once

#include <cstdint>
#include <utility>

#include "cornellever/proxy/pool.hpp"

namespace cornellever::proxy {

/// A connection checked out of a pool. Unless it is returned with `release`, the connection is closed on destruction,
/// and the backend server rolls back the transaction of a closed connection. So the next user of a connection can never
/// continue a transaction that a caller (a client application) abandoned.
class pooled_connection {
public:
    pooled_connection(pool& owner, pool::channel_ptr connection)
        : m_owner{&owner}
        , m_connection{std::move(connection)} {}
    ~pooled_connection() { discard(); }
    pooled_connection(pooled_connection&& other) noexcept
        : m_owner{other.m_owner}
        , m_connection{std::move(other.m_connection)}
        , m_session{other.m_session} {}
    pooled_connection& operator=(pooled_connection&& other) noexcept {
        if (this != &other) {
            discard();
            m_owner = other.m_owner;
            m_connection = std::move(other.m_connection);
            m_session = other.m_session;
        }
        return *this;
    }
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;

    rpc::channel* operator->() const noexcept { return m_connection.get(); }

    /// Sets the id of the backend server's session whose transaction is open on this connection.
    void set_open_transaction(std::uint64_t session) noexcept { m_session = session; }

    /// Returns the connection to the pool, after its transaction has ended. Closes a connection in an unknown state.
    void release() {
        if (m_connection && !m_connection->usable()) {
            discard();
        } else if (m_connection) {
            m_owner->release(std::move(m_connection));
        }
    }

    /// Closes the connection. If a transaction was opened on it, also asks the backend server to terminate that
    /// transaction over another connection: if the network has dropped this connection, the server never sees it close
    /// and would keep holding the transaction's locks.
    void discard() {
        if (!m_connection) {
            return;
        }
        if (m_session != 0) {
            m_owner->terminate(m_session);
        }
        m_owner->discard(std::move(m_connection));
    }

    /// Returns the pool that the connection belongs to.
    [[nodiscard]] pool& owner() const noexcept { return *m_owner; }

private:
    pool* m_owner;
    pool::channel_ptr m_connection;
    std::uint64_t m_session{0};
};

} // namespace cornellever::proxy
