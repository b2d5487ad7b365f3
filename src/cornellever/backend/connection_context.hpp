#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "cornellever/backend/instance.hpp"

namespace cornellever::backend {

/// One caller connection's SQLite connection and open transaction.
struct instance::client : rpc::connection_state {
    client(std::uint64_t connection_id, sqlite_connection connection, std::uint64_t of_generation,
           std::set<client*>& all)
        : id{connection_id}
        , db{std::move(connection)}
        , generation{of_generation}
        , m_all{all} {
        m_all.insert(this);
    }
    ~client() override { m_all.erase(this); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Ends the open transaction, undoing it.
    void undo() {
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
    std::set<client*>& m_all;
};

} // namespace cornellever::backend
