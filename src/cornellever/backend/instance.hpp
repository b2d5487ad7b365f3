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

/// An instance with the role primary accepts writes; a replica receives them from
/// a primary.
enum class role { primary, replica };

/// Settings of one instance of the stand-in backend server (a simulated database
/// server for tests).
struct instance_settings {
    std::string name;
    /// The role at start; `promote` or a higher term changes the role later.
    role initial_role{role::replica};
    std::uint64_t term{1};
    /// The replicas to which a primary replicates its log.
    std::vector<tcp::endpoint> replicas;
    /// SQL scripts that create the schema and seed data, in order.
    std::vector<std::filesystem::path> scripts;
    /// The folder for the database files.
    std::filesystem::path folder;
    /// How long a replica waits between receiving and applying an entry.
    std::chrono::milliseconds replication_lag{0};
    /// Simulated cost of opening a connection.
    std::chrono::milliseconds connect_delay{0};
    std::size_t max_connections{64};
};

/// A stand-in for a backend server, used in tests and demonstrations: a SQLite
/// database with a role, a term and a write log. A primary appends each committed
/// write to its log and sends the log to the replicas. Replicas receive entries
/// immediately and apply them after the configured replication lag.
///
/// The term is a fencing token: an instance remembers the highest term received
/// in `fence` or `replicate` and refuses writes, replication and promotions with
/// a lower term. A primary that receives a higher term becomes a replica and
/// rolls back its open transactions.
///
/// RPC methods for clients: `execute`, `begin`, `commit`, `rollback`,
/// `terminate`, `await_received`, `find_entry`, `status`, `dump`. For promotion:
/// `quiesce`, `fence`, `promote`. Between instances: `replicate`. For tests:
/// `fault.set`. Single-threaded.
class instance {
public:
    /// Creates the database in `settings.folder` and runs the scripts.
    /// Errors: `internal` when the database cannot be created.
    [[nodiscard]] static result<std::unique_ptr<instance>> create(asio::any_io_executor executor,
                                                                  instance_settings settings);

    /// Registers every method on `rpc`.
    void bind(rpc::server& rpc);

    /// Starts the tasks that send the log to the replicas (while primary) and
    /// apply received entries (while replica).
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
    /// Rolls back the open transaction of another connection, identified by the
    /// `session` that `begin` returned on that connection. Does nothing when that
    /// connection has no open transaction.
    answer terminate(params in, rpc::connection& conn);
    answer status(params in, rpc::connection& conn);
    answer dump(params in, rpc::connection& conn);
    answer set_fault(params in, rpc::connection& conn);
    /// Waits, at most `wait_ms`, until the log holds the entry that the primary
    /// of `term` wrote at `position`.
    answer await_received(params in, rpc::connection& conn);
    /// Returns whether the log contains at `position` the entry written in
    /// `entry_term`, and the end of the log. Errors: `fenced` when this instance
    /// is not the primary of `term`.
    answer find_entry(params in, rpc::connection& conn);
    /// Receives log entries from the primary. Returns `matched`, which is true if
    /// this log agrees with the primary's log at `after`, and `received`, the
    /// position from which the primary continues.
    answer replicate(params in, rpc::connection& conn);
    /// Stops accepting new writes and transactions and waits, at most `wait_ms`,
    /// until open transactions have ended and a majority holds the complete log.
    answer quiesce(params in, rpc::connection& conn);
    /// Adopts `term`, so that a primary of a lower term can no longer write or
    /// replicate to this instance, and returns the end of the log.
    answer fence(params in, rpc::connection& conn);
    /// Applies every received entry and becomes the primary of `term`, which must
    /// be this instance's current term.
    answer promote(params in, rpc::connection& conn);

    /// Returns the context of `conn`. Creates a context when the connection has
    /// none or when the existing context belongs to an earlier database
    /// generation.
    asio::awaitable<result<connection_context*>> context_of(rpc::connection& conn);
    /// Applies the injected faults that lose or delay the response to an executed
    /// statement.
    asio::awaitable<void> apply_answer_faults(rpc::connection& conn);
    /// Checks whether this instance satisfies the term, log position and maximum
    /// staleness that a read requires.
    [[nodiscard]] result<void> admit_read(params in) const;
    /// Checks whether this instance has the role and term that a write requires.
    [[nodiscard]] result<void> admit_write(params in) const;
    /// Returns the error `fenced` once after the server has rolled back the
    /// transaction of `caller`.
    [[nodiscard]] result<void> report_abort(connection_context& caller) const;
    /// Logs the refusal of a request and returns the refusal as the result.
    [[nodiscard]] std::unexpected<error> log_refusal(const error& refusal) const;
    /// The last position of the log, the term and the instance's name.
    [[nodiscard]] Json::Value describe_log_end() const;
    /// An upper bound on how far the database is behind the primary; zero on a
    /// primary.
    [[nodiscard]] std::chrono::milliseconds staleness() const;
    [[nodiscard]] std::size_t open_transactions() const;
    /// Whether a majority of the instances, including this primary, holds the
    /// complete log of this primary.
    [[nodiscard]] bool majority_holds_log() const;
    /// Returns only the fields that a heartbeat needs, because every proxy
    /// requests a heartbeat several times a second.
    [[nodiscard]] Json::Value heartbeat_status() const;
    /// Returns the complete state, for state dumps.
    [[nodiscard]] Json::Value describe() const;

    /// Appends a transaction that is committed in the database to the log.
    void append(std::vector<logged_statement> statements);
    /// Becomes a replica and rolls back all open transactions.
    void step_down();
    /// Raises the term to `term` when that is higher; a primary then becomes a
    /// replica.
    void adopt_term(std::uint64_t term);
    /// Wakes the pending `await_received` calls, which then check their
    /// conditions again.
    void wake_receive_waiters();
    /// Adds received entries to the log. When the log already contains an entry
    /// of another term at the same position, discards that entry and all entries
    /// after it.
    void receive(const Json::Value& entries);
    /// Truncates the log from `position` on, and rebuilds the database when a
    /// discarded entry was already applied.
    void discard_from(std::uint64_t position);
    void start_shipping();
    /// Sends the log to one replica until the role changes.
    asio::awaitable<void> ship(tcp::endpoint replica, std::uint64_t role_epoch);
    /// While a replica, applies received entries after the replication lag.
    asio::awaitable<void> apply_received();

    asio::any_io_executor m_executor;
    instance_settings m_settings;
    database m_data;
    role m_role;
    std::uint64_t m_term;
    /// Counts the role changes (epochs). A task that was started in an earlier
    /// epoch ends.
    std::uint64_t m_role_epoch{0};
    bool m_quiescing{false};
    write_log m_log;
    /// The last log position that each replica has confirmed in the current
    /// epoch.
    std::map<tcp::endpoint, std::uint64_t> m_replica_positions;
    faults m_faults;
    std::uint64_t m_statements{0};
    std::set<connection_context*> m_connections;
    /// Timers of the pending `await_received` calls.
    std::set<asio::steady_timer*> m_receive_waiters;
    /// When the primary last sent log entries or a heartbeat to this replica.
    clock::time_point m_primary_contact_at;
    /// When this replica last held the primary's complete log.
    clock::time_point m_received_all_at;
};

} // namespace cornellever::backend
