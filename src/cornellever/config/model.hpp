#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::config {

/// Default maximum staleness of reads from replicas, in milliseconds.
inline constexpr std::int64_t default_max_staleness_ms = 1000;

/// Default time in milliseconds that a read waits for a replica to apply the session's last write before the read goes
/// to the primary.
inline constexpr std::int64_t default_replica_wait_ms = 30;

/// Default time in milliseconds after which an idle transaction is rolled back.
inline constexpr std::int64_t default_transaction_idle_ms = 5000;

/// Default maximum number of connections to one backend instance.
inline constexpr int default_connections = 16;

/// One backend server of a database. `zone` is the data centre that the server runs in.
struct instance {
    std::string name;
    std::string zone;
    std::string address;
    int connections{default_connections};
};

/// One database of a service and its instances (backend servers). Which instance is the primary is never configured,
/// since the instances report it themselves.
struct database {
    std::string name;
    std::vector<instance> instances;
};

/// A database service as declared by operators.
struct service {
    std::string name;
    /// Maximum staleness of reads from replicas.
    std::chrono::milliseconds max_staleness{default_max_staleness_ms};
    /// How long a read waits for a replica to apply the session's last write before the read goes to the primary.
    std::chrono::milliseconds replica_wait{default_replica_wait_ms};
    /// Idle time after which a transaction is rolled back.
    std::chrono::milliseconds transaction_idle{default_transaction_idle_ms};
    /// Kinds of request that must not be executed twice. Callers (client applications) must send a request id with such
    /// a request, and requests with the same id take effect at most once.
    std::vector<std::string> non_repeatable;
    std::vector<database> databases;
};

/// The whole configuration that the proxies apply. The platform's table, in which the configuration is stored, assigns
/// `version` when the configuration is applied; before that, `version` is 0.
struct cluster {
    std::uint64_t version{0};
    std::string name;
    std::vector<std::string> zones;
    std::vector<service> services;
};

/// Returns the service named `name`, or null if there is none.
[[nodiscard]] const service* find_service(const cluster& config, std::string_view name);

/// Returns the database named `name` of the service `owner`, or null if there is none.
[[nodiscard]] const database* find_database(const service& owner, std::string_view name);

} // namespace cornellever::config
