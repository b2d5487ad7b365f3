#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::config {

/// Default bound on how old a replica read may be, in milliseconds.
inline constexpr std::int64_t default_max_staleness_ms = 1000;

/// Default wait for a replica to catch up with a session before its read
/// goes to the primary.
inline constexpr std::int64_t default_replica_wait_ms = 30;

/// Default time a caller may leave a transaction idle.
inline constexpr std::int64_t default_transaction_idle_ms = 5000;

/// Default connection budget of one backend instance.
inline constexpr int default_connections = 16;

/// One backend server instance of a database, in a zone (data centre).
struct instance {
    std::string name;
    std::string zone;
    std::string address;
    int connections{default_connections};
};

/// One database of a service and its instances; which instance is primary
/// is learnt from the instances themselves, never from configuration.
struct database {
    std::string name;
    std::vector<instance> instances;
};

/// A database service as operators declare it.
struct service {
    std::string name;
    /// How old a replica read may be.
    std::chrono::milliseconds max_staleness{default_max_staleness_ms};
    /// How long a read waits for a replica to reach the session's last write.
    std::chrono::milliseconds replica_wait{default_replica_wait_ms};
    /// A transaction idle for longer is rolled back.
    std::chrono::milliseconds transaction_idle{default_transaction_idle_ms};
    /// Kinds of request that may never be repeated: callers must give them
    /// a request id, and each id takes effect at most once.
    std::vector<std::string> non_repeatable;
    std::vector<database> databases;
};

/// The whole configuration that proxies follow. `version` is given by the
/// platform's table when the configuration is applied; 0 before that.
struct cluster {
    std::uint64_t version{0};
    std::string name;
    std::vector<std::string> zones;
    std::vector<service> services;
};

/// The service named `name`, or null.
[[nodiscard]] const service* find_service(const cluster& config, std::string_view name);

/// The database named `name` of `owner`, or null.
[[nodiscard]] const database* find_database(const service& owner, std::string_view name);

} // namespace cornellever::config
