#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cornellever/backend/database.hpp"
#include "cornellever/backend/faults.hpp"
#include "cornellever/backend/log.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::backend {

/// Whether an instance takes writes or follows a primary.
enum class role { primary, replica };

/// Settings of one stand-in database server instance.
struct instance_settings {
    std::string name;
    role initial_role{role::replica};
    std::uint64_t term{1};
    std::vector<tcp::endpoint> replicas;
    std::vector<std::filesystem::path> scripts;
    std::filesystem::path folder;
    std::chrono::milliseconds replication_lag{0};
    std::chrono::milliseconds connect_delay{0};
    std::size_t max_connections{64};
};

/// A stand-in database server instance: a real SQLite database, a role, a
/// term and a log. A primary appends each committed write to its log and
/// ships it; replicas receive it at once and apply it `replication_lag` later.
///
/// Terms fence: an instance remembers the highest term it was asked to keep
/// (`fence`, `promote`, `replicate`) and refuses whatever carries a lower
/// one. A primary that learns of a higher term becomes a replica and rolls
/// back its open transactions.
///
/// Methods for callers: `execute`, `begin`, `commit`, `rollback`,
/// `terminate`, `await_received`, `find_entry`, `status`, `dump`. For promotion:
/// `quiesce`, `fence`, `promote`. Between instances: `replicate`. For tests: `fault.set`.
/// Single-threaded.
class instance {
public:
    /// Creates the database in `settings.folder` and runs the scripts.
    /// Errors: `internal` when the database cannot be made.
    [[nodiscard]] static result<std::unique_ptr<instance>> create(asio::any_io_executor executor,
                                                                  instance_settings settings);

    /// Registers every method on `rpc`.
    void bind(rpc::server& rpc);

    /// Starts shipping (while primary) and applying (while replica).
    void start();

private:
    using params = const Json::Value&;
    using answer = asio::awaitable<result<Json::Value>>;
    using clock = std::chrono::steady_clock;
    struct connection_context;

    instance(asio::any_io_executor executor, instance_settings settings, database data);

    answer execute(params in, rpc::connection& conn);
    answer begin(params in, rpc::connection& conn);
    answer commit(params in, rpc::connection& conn);
    answer rollback(params in, rpc::connection& conn);
    /// Undoes the open transaction of another connection, named by what its
    /// `begin` answered; nothing when it has none.
    answer terminate(params in, rpc::connection& conn);
    answer status(params in, rpc::connection& conn);
    answer dump(params in, rpc::connection& conn);
    answer set_fault(params in, rpc::connection& conn);
    answer await_received(params in, rpc::connection& conn);
    /// Whether the log of the primary of `term` holds, at `position`, the
    /// entry written in `entry_term`; also where that log ends.
    answer find_entry(params in, rpc::connection& conn);
    answer replicate(params in, rpc::connection& conn);
    /// Takes no new writes and waits, at most `wait_ms`, until transactions
    /// have ended and a majority holds the log whole.
    answer quiesce(params in, rpc::connection& conn);
    answer fence(params in, rpc::connection& conn);
    answer promote(params in, rpc::connection& conn);

    asio::awaitable<result<connection_context*>> context_of(rpc::connection& conn);
    asio::awaitable<void> apply_answer_faults(rpc::connection& conn);
    [[nodiscard]] result<void> admit_read(params in) const;
    [[nodiscard]] result<void> admit_write(params in) const;
    /// Tells a caller, once, that stepping down undid its transaction.
    [[nodiscard]] result<void> report_abort(connection_context& caller) const;
    [[nodiscard]] std::unexpected<error> log_refusal(const error& refusal) const;
    [[nodiscard]] Json::Value describe_log_end() const;
    [[nodiscard]] std::chrono::milliseconds staleness() const;
    [[nodiscard]] std::size_t open_transactions() const;
    /// Whether a majority of the instances, this primary included, hold its log whole.
    [[nodiscard]] bool majority_holds_log() const;
    /// What a heartbeat needs; every byte of it is sent by each proxy
    /// several times a second.
    [[nodiscard]] Json::Value heartbeat_status() const;
    [[nodiscard]] Json::Value describe() const;

    void append(std::vector<logged_statement> statements);
    void step_down();
    void adopt_term(std::uint64_t term);
    void wake_receive_waiters();
    void receive(const Json::Value& entries);
    void discard_from(std::uint64_t position);
    void start_shipping();
    asio::awaitable<void> ship(tcp::endpoint replica, std::uint64_t role_epoch);
    asio::awaitable<void> apply_received();

    asio::any_io_executor m_executor;
    instance_settings m_settings;
    database m_data;
    role m_role;
    std::uint64_t m_term;
    /// Counts changes of role; shipping loops of an earlier reign end.
    std::uint64_t m_role_epoch{0};
    bool m_quiescing{false};
    write_log m_log;
    /// How far each replica of this reign has confirmed to hold the log.
    std::map<tcp::endpoint, std::uint64_t> m_replica_positions;
    faults m_faults;
    std::uint64_t m_statements{0};
    std::set<connection_context*> m_connections;
    /// Timers of the `await_received` calls under way.
    std::set<asio::steady_timer*> m_receive_waiters;
    clock::time_point m_primary_contact_at;
    clock::time_point m_received_all_at;
};

} // namespace cornellever::backend
