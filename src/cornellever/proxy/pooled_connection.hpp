#pragma once

#include <cstdint>
#include <utility>

#include "cornellever/proxy/pool.hpp"

namespace cornellever::proxy {

/// A connection on loan from a pool. One that is not handed back with
/// `release` is closed when the loan ends, so a caller that is cut off in the
/// middle of a transaction can never leave it to the connection's next user:
/// the backend rolls back what a closed connection held.
class pooled_connection {
public:
    pooled_connection(pool& owner, pool::lease connection) : m_owner{&owner}, m_connection{std::move(connection)} {}
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

    /// Notes the backend's name for the transaction that is open here.
    void in_transaction_of(std::uint64_t session) noexcept { m_session = session; }

    /// Hands the connection back for the next caller, its transaction ended;
    /// one that is in doubt is closed.
    void release() {
        if (m_connection && !m_connection->usable()) {
            discard();
        } else if (m_connection) {
            m_owner->release(std::move(m_connection));
        }
    }

    /// Closes the connection, and has a transaction left open on it ended
    /// over another one: where something between the two ends has lost track
    /// of this connection, the backend never sees it close and would hold the
    /// transaction's locks against every other writer.
    void discard() {
        if (!m_connection) {
            return;
        }
        if (m_session != 0) {
            m_owner->terminate(m_session);
        }
        m_owner->discard(std::move(m_connection));
    }

    /// The pool it came from.
    [[nodiscard]] pool& owner() const noexcept { return *m_owner; }

private:
    pool* m_owner;
    pool::lease m_connection;
    std::uint64_t m_session{0};
};

} // namespace cornellever::proxy
