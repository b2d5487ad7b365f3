#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/accounts/directory.hpp"
#include "cornellever/core/asio.hpp"

namespace cornellever::routing {

/// The read consistency of a database.
enum class consistency { primary, bounded_staleness, read_your_writes };

/// The largest priority number. Requests with priority 0 are served first.
inline constexpr int lowest_priority = 1'000'000;

/// Returns the wait queue priority of a request, which combines the priority of its database with that of its account.
/// The database's priority counts first, so that an urgent request is not delayed by a background request of a more
/// important account.
[[nodiscard]] constexpr std::int64_t priority_of(int request, int account) noexcept {
    return std::int64_t{request} * (std::int64_t{lowest_priority} + 1) + account;
}

/// Returns the priority of the database from the result of `priority_of`.
[[nodiscard]] constexpr int database_priority(std::int64_t priority) noexcept {
    return static_cast<int>(priority / (std::int64_t{lowest_priority} + 1));
}

/// A database name that callers (client applications) may use, and the replicated service that stores the database.
struct database_route {
    std::string database;
    std::string service;
    consistency reads{consistency::primary};
    /// Timeout of one statement.
    std::chrono::milliseconds statement_timeout{0};
    /// Target latency of a whole operation.
    std::chrono::milliseconds target_latency{0};
    /// Freshness bound of reads: how old the data may be. Unused if reads go to the primary.
    std::chrono::milliseconds max_staleness{0};
    /// Priority of the database's requests; 0 is served first.
    int priority{0};
    /// Whether callers without a key have access.
    bool keyless{true};
};

/// A replicated database service.
struct service_limits {
    std::string service;
    /// Connections that one backend server accepts from all proxies together.
    std::size_t max_connections{0};
    /// Number of replicas that must acknowledge a commit before the caller gets its reply.
    int synchronous_replicas{0};
};

/// One version of the configuration that the operators maintain. Versions are monotonic.
struct configuration {
    std::uint64_t version{0};
    std::map<std::string, database_route, std::less<>> routes;
    std::map<std::string, service_limits, std::less<>> services;
    /// Accounts and their keys; empty when no keys are required.
    accounts::directory accounts;
    /// A transaction that is idle for longer than this may be ended.
    std::chrono::milliseconds transaction_idle{0};
};

/// The role that a backend server registered with.
enum class server_role { primary, replica };

/// The registration of one backend server.
struct backend_server {
    std::string id;
    std::string service;
    tcp::endpoint address;
    std::string data_center;
    /// Number of statements that the server executes concurrently.
    std::size_t slots{1};
    /// When the server's process started, in Unix milliseconds, or 0 if not reported. A server that restarts under the
    /// same id keeps no state of its previous process.
    std::uint64_t started_at_ms{0};
    bool draining{false};
    server_role role{server_role::replica};

    /// Whether this registration belongs to a later process of the same server than `before`. Returns false if either
    /// start time is unknown.
    [[nodiscard]] bool started_after(const backend_server& before) const noexcept {
        return started_at_ms > before.started_at_ms && before.started_at_ms != 0;
    }

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

/// The registered backend servers at one version of the registry.
struct registry {
    std::uint64_t version{0};
    std::map<std::string, backend_server, std::less<>> servers;
};

} // namespace cornellever::routing
