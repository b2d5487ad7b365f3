#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "cornellever/backend/instance.hpp"

namespace cornellever::backend {

/// One caller connection's SQLite connection and open transaction.
struct instance::connection_context : rpc::connection_state {
    connection_context(std::uint64_t connection_id, sqlite_connection connection, std::uint64_t database_generation,
                       std::set<connection_context*>& registry)
        : id{connection_id}
        , db{std::move(connection)}
        , generation{database_generation}
        , m_registry{registry} {
        m_registry.insert(this);
    }
    ~connection_context() override { m_registry.erase(this); }
    connection_context(const connection_context&) = delete;
    connection_context& operator=(const connection_context&) = delete;

    /// Ends the open transaction, undoing it.
    void roll_back() {
        if (db.in_transaction()) {
            (void)db.exec("ROLLBACK");
        }
        in_transaction = false;
        pending.clear();
    }

    /// The caller connection's id, by which `terminate` names it.
    std::uint64_t id;
    sqlite_connection db;
    std::uint64_t generation;
    bool in_transaction{false};
    /// The server undid the open transaction; its caller has yet to be told.
    bool aborted{false};
    std::vector<logged_statement> pending;

private:
    std::set<connection_context*>& m_registry;
};

} // namespace cornellever::backend
