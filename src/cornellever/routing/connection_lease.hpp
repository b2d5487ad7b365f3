#pragma once

#include <utility>

#include "cornellever/routing/model.hpp"

namespace cornellever::routing {

/// RAII handle of a connection that is checked out of a pool, or an empty handle. The destructor closes the connection
/// unless the connection was released.
template <typename Pool>
class connection_lease {
public:
    using slot = typename Pool::slot;

    connection_lease() = default;
    connection_lease(Pool& pool, slot& held) : m_pool{&pool}, m_slot{&held} {}
    connection_lease(connection_lease&& other) noexcept
        : m_pool{other.m_pool}
        , m_slot{std::exchange(other.m_slot, nullptr)} {}
    connection_lease& operator=(connection_lease&& other) noexcept {
        if (this != &other) {
            drop();
            m_pool = other.m_pool;
            m_slot = std::exchange(other.m_slot, nullptr);
        }
        return *this;
    }
    ~connection_lease() { drop(); }

    explicit operator bool() const noexcept { return m_slot != nullptr; }
    slot* operator->() const noexcept { return m_slot; }
    slot& operator*() const noexcept { return *m_slot; }
    [[nodiscard]] const backend_server& server() const noexcept { return m_slot->server_entry->server; }

    /// Returns the connection to the pool, which reads the pending replies before it reuses the connection.
    void release() { m_pool->check_in(*std::exchange(m_slot, nullptr)); }

    /// Closes the connection. The server then rolls back the open transaction, if there is one.
    void drop() {
        if (m_slot != nullptr) {
            m_slot->connection->close();
            release();
        }
    }

private:
    Pool* m_pool{nullptr};
    slot* m_slot{nullptr};
};

} // namespace cornellever::routing
