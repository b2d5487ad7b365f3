#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "cornellever/backend/instance.hpp"

namespace cornellever::backend {

/// State of one client connection to the stand-in server (a simulated backend
/// server for tests): the SQLite connection and the open transaction, if any.
/// Registers itself in the instance's set of connections.
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

    /// Rolls back the open transaction, if any.
    void roll_back() {
        if (db.in_transaction()) {
            (void)db.exec("ROLLBACK");
        }
        in_transaction = false;
        pending.clear();
    }

    /// The id of the RPC connection; `begin` returns this id and `terminate`
    /// takes it.
    std::uint64_t id;
    sqlite_connection db;
    /// The database generation (see `database::generation`) on which `db` was
    /// opened.
    std::uint64_t generation;
    bool in_transaction{false};
    /// True if the server has rolled back the open transaction and has not yet
    /// reported this to the client.
    bool aborted{false};
    /// Write statements of the open transaction, which are appended to the write
    /// log when the transaction commits.
    std::vector<logged_statement> pending;

private:
    std::set<connection_context*>& m_registry;
};

} // namespace cornellever::backend
