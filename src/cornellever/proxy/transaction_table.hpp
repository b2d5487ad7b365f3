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

/// Callers' open transactions, each pinned to one backend connection that no
/// other caller gets until it ended, and to the caller connection that began
/// it: no other connection can speak in it, and when the caller vanishes it
/// is rolled back at once rather than holding its locks until it times out.
class transaction_table {
public:
    using clock = std::chrono::steady_clock;

    transaction_table(backend_links& links, write_path& writes) : m_links{links}, m_writes{writes} {}

    /// Opens a transaction on the primary by `until`.
    answer begin(const config::service& service, const begin_request& request, rpc::connection& caller,
                 clock::time_point until);

    /// Runs a statement inside its transaction.
    answer execute(const execute_request& request, const rpc::connection& caller, clock::time_point until);

    /// Commits or rolls back.
    answer commit(const finish_request& request, const rpc::connection& caller, clock::time_point until);
    answer rollback(const finish_request& request, const rpc::connection& caller, clock::time_point until);

    /// Rolls back transactions whose caller has been silent too long.
    void sweep();

    /// Transactions open.
    [[nodiscard]] std::size_t open() const noexcept { return m_open.size(); }

private:
    struct caller_state;

    struct pinned {
        std::uint64_t caller;
        instance_view primary;
        pooled_connection connection;
        std::string request_id;
        std::chrono::milliseconds idle_limit;
        clock::time_point last_used;
        bool busy{false};
    };

    [[nodiscard]] std::string keep(pinned opened, rpc::connection& caller);
    asio::awaitable<result<void>> commit_held(pinned& held, session_token& token, clock::time_point until);
    asio::awaitable<result<void>> settle_by_record(const pinned& held, error doubt, session_token& token,
                                                   clock::time_point until);
    [[nodiscard]] result<pinned*> find(const std::string& id, const rpc::connection& caller);
    [[nodiscard]] result<pinned> take(const std::string& id, const rpc::connection& caller);
    void abandon_all_of(std::uint64_t caller);

    backend_links& m_links;
    write_path& m_writes;
    std::map<std::string, pinned, std::less<>> m_open;
    std::uint64_t m_next_id{1};
};

} // namespace cornellever::proxy
