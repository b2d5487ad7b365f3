#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/write_path.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::proxy {

/// The open transactions of callers (connected client applications). Each transaction is pinned to one backend
/// connection, which no other request uses until the transaction ends, and to the caller's connection that began it. No
/// other caller connection can run statements in the transaction. When the caller disconnects, the transaction is
/// rolled back immediately instead of holding its locks until a timeout.
class transaction_table {
public:
    using clock = std::chrono::steady_clock;

    transaction_table(backend_connections& backends, write_path& writes) : m_backends{backends}, m_writes{writes} {}

    /// Opens a transaction on the primary; `until` is the deadline.
    answer begin(const config::service& service, const begin_request& request, rpc::connection& caller,
                 clock::time_point until);

    /// Runs a statement inside the open transaction that the request names.
    answer execute(const execute_request& request, const rpc::connection& caller, clock::time_point until);

    /// Commits or rolls back the transaction that the request names.
    answer commit(const finish_request& request, const rpc::connection& caller, clock::time_point until);
    answer rollback(const finish_request& request, const rpc::connection& caller, clock::time_point until);

    /// Rolls back transactions that have been idle for longer than their service allows.
    void sweep();

    /// The number of open transactions.
    [[nodiscard]] std::size_t open() const noexcept { return m_open.size(); }

private:
    struct caller_state;

    struct pinned_transaction {
        std::uint64_t caller;
        instance_view primary;
        pooled_connection connection;
        std::string request_id;
        std::chrono::milliseconds idle_limit;
        clock::time_point last_used;
        bool busy{false};
    };

    [[nodiscard]] std::string insert(pinned_transaction opened, rpc::connection& caller);
    asio::awaitable<result<void>> commit_pinned(pinned_transaction& transaction, session_token& token,
                                                clock::time_point until);
    asio::awaitable<result<void>> resolve_by_record(const pinned_transaction& transaction, error cause,
                                                    session_token& token, clock::time_point until);
    [[nodiscard]] result<pinned_transaction*> find(const std::string& id, const rpc::connection& caller);
    [[nodiscard]] result<pinned_transaction> extract(const std::string& id, const rpc::connection& caller);
    void roll_back_all_of(std::uint64_t caller);

    backend_connections& m_backends;
    write_path& m_writes;
    std::map<std::string, pinned_transaction, std::less<>> m_open;
    std::uint64_t m_next_id{1};
};

} // namespace cornellever::proxy
