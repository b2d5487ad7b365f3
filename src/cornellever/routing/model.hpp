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

/// How fresh a database's reads have to be.
enum class consistency { primary, bounded_staleness, read_your_writes };

/// Priorities go from 0, which is served first, to this.
inline constexpr int lowest_priority = 1'000'000;

/// The place of a request in a line: by its database's priority, and among equal
/// ones by its account's. What callers ask for urgently is not put behind what a
/// more important account does in passing.
[[nodiscard]] constexpr std::int64_t priority_of(int request, int account) noexcept {
    return std::int64_t{request} * (std::int64_t{lowest_priority} + 1) + account;
}

/// A database that callers may name, and the replicated service behind it.
struct database_route {
    std::string database;
    std::string service;
    consistency reads{consistency::primary};
    /// Bound of one statement.
    std::chrono::milliseconds statement_timeout{0};
    /// What callers aim at for a whole operation.
    std::chrono::milliseconds target_latency{0};
    /// How old a read may be; unused where reads go to the primary.
    std::chrono::milliseconds max_staleness{0};
    /// 0 is served first.
    int priority{0};
    /// Open to callers without a key.
    bool keyless{true};
};

/// A replicated database service.
struct service_limits {
    std::string service;
    /// Connections that one backend server takes from all proxies together.
    std::size_t max_connections{0};
    /// Replicas that acknowledge a commit before the caller hears of it.
    int synchronous_replicas{0};
};

/// One version of the operators' configuration; versions only grow.
struct configuration {
    std::uint64_t version{0};
    std::map<std::string, database_route, std::less<>> routes;
    std::map<std::string, service_limits, std::less<>> services;
    /// Whose key is whose; empty where nobody needs one.
    accounts::directory accounts;
    /// A transaction whose caller is silent for longer may be ended.
    std::chrono::milliseconds transaction_idle{0};
};

/// What a backend server says it is.
enum class server_role { primary, replica };

/// One backend server as it registered itself.
struct backend_server {
    std::string id;
    std::string service;
    tcp::endpoint address;
    std::string data_center;
    std::size_t slots{1};
    /// When its process started, in Unix milliseconds; 0 when it does not say.
    /// A server that starts again under its id knows nothing of before.
    std::uint64_t started_at_ms{0};
    bool draining{false};
    server_role role{server_role::replica};

    /// Whether this is a later start of the same server.
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
