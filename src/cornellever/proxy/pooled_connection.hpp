#pragma once

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
        , m_connection{std::move(other.m_connection)} {}
    pooled_connection& operator=(pooled_connection&& other) noexcept {
        if (this != &other) {
            discard();
            m_owner = other.m_owner;
            m_connection = std::move(other.m_connection);
        }
        return *this;
    }
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;

    rpc::channel* operator->() const noexcept { return m_connection.get(); }

    /// Hands the connection back for the next caller.
    void release() {
        if (m_connection) {
            m_owner->release(std::move(m_connection));
        }
    }

    /// Closes the connection.
    void discard() {
        if (m_connection) {
            m_owner->discard(std::move(m_connection));
        }
    }

    /// The pool it came from.
    [[nodiscard]] pool& owner() const noexcept { return *m_owner; }

private:
    pool* m_owner;
    pool::lease m_connection;
};

} // namespace cornellever::proxy
