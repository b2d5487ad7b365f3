#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "cornellever/backend/log.hpp"
#include "cornellever/backend/sqlite.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::backend {

/// Whether an instance takes writes or follows a primary.
enum class role { primary, replica };

/// Settings of one stand-in database server instance.
struct instance_settings {
    std::string name;
    role starts_as{role::replica};
    std::uint64_t term{1};
    std::vector<tcp::endpoint> replicas;
    std::vector<std::filesystem::path> scripts;
    std::filesystem::path folder;
    std::chrono::milliseconds lag{0};
    std::chrono::milliseconds connect_delay{0};
};

/// A stand-in database server instance: a real SQLite database, a role, a
/// term and a log position that advances with each committed write, which a
/// primary ships to its replicas asynchronously, held back by `lag`.
/// Methods: `execute`, `begin`, `commit`, `rollback`, `replicate`, `status`,
/// `fault.set`, `dump`. Single-threaded.
class instance {
public:
    /// Creates the database in `settings.folder` and runs the scripts.
    /// Errors: `internal` when the database cannot be made.
    [[nodiscard]] static result<std::unique_ptr<instance>> create(asio::any_io_executor executor,
                                                                  instance_settings settings);

    /// Registers every method on `rpc`.
    void bind(rpc::server& rpc);

    /// Starts shipping the log to the replicas, while primary.
    void start();

    /// The position of the last write applied here.
    [[nodiscard]] std::uint64_t position() const noexcept;

private:
    using params = const Json::Value&;
    using answer = asio::awaitable<result<Json::Value>>;
    struct client;

    instance(asio::any_io_executor executor, instance_settings settings, sqlite_connection apply);

    answer execute(params in, rpc::connection& conn);
    answer begin(params in, rpc::connection& conn);
    answer commit(params in, rpc::connection& conn);
    answer rollback(params in, rpc::connection& conn);
    answer replicate(params in, rpc::connection& conn);
    answer status(params in, rpc::connection& conn);
    answer set_fault(params in, rpc::connection& conn);

    asio::awaitable<result<client*>> attach(rpc::connection& conn);
    [[nodiscard]] result<void> admit_read(params in) const;
    [[nodiscard]] result<void> admit_write(params in) const;
    [[nodiscard]] result<void> apply(const log_entry& entry);
    [[nodiscard]] std::chrono::milliseconds staleness() const;
    [[nodiscard]] Json::Value describe() const;
    asio::awaitable<void> ship(tcp::endpoint replica);

    asio::any_io_executor m_executor;
    instance_settings m_settings;
    sqlite_connection m_apply;
    role m_role;
    std::uint64_t m_term;
    write_log m_log;
    std::uint64_t m_applied{0};
    std::chrono::steady_clock::time_point m_fresh_as_of;
    std::chrono::milliseconds m_lag;
    std::uint64_t m_silent_below{0};
    std::uint64_t m_connections_seen{0};
};

} // namespace cornellever::backend
