#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consistency_checker.hpp"
#include "cornellever/core/asio.hpp"
#include "platform/line_socket.hpp"
#include "statement_slots.hpp"
#include "tcp_forwarder.hpp"

namespace cornellever::emulator {

/// A log entry: the writes of one commit.
struct log_entry {
    std::uint64_t term{0};
    std::vector<std::string> writes;
    time_point received_at;
    /// On a replica: when the entry is applied.
    time_point due;
};

/// What a server does with the statements of callers. In every case it replies to control statements such as BEGIN
/// and STATUS.
enum class breakage { none, reset, hang };

class replicated_service;

/// An emulated backend server of a service, behind a forwarder that injects
/// network faults.
class emulated_server {
public:
    static constexpr std::chrono::milliseconds usual_lag{20};
    /// Servers refuse to prepare statements of this shape.
    static constexpr std::string_view refused_shape{"refused shape"};

    emulated_server(asio::io_context& io, replicated_service& service, std::string id, std::string data_center,
                    tcp::endpoint address);

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const std::string& data_center() const noexcept { return m_data_center; }
    [[nodiscard]] tcp_forwarder& forwarder() noexcept { return m_forwarder; }
    [[nodiscard]] bool running() const noexcept { return m_running; }
    [[nodiscard]] bool is_primary() const;
    [[nodiscard]] const std::string& service_name() const noexcept;
    /// Number of log entries received, applied or not.
    [[nodiscard]] std::uint64_t received() const noexcept { return m_log.size(); }
    /// This server's row in the table of servers, as JSON text.
    [[nodiscard]] std::string registration() const;

    void start();
    /// Closes all connections at once and keeps the log.
    void crash();
    /// Crashes and loses the log. A primary may keep its role after that, but
    /// nothing is replicated from it.
    void crash_and_lose_log();
    /// Gives the server a new identity, as if a new server took over its address and log.
    void assign_id(std::string id) { m_id = std::move(id); }

    bool draining{false};
    /// After this time a new statement here is a violation: the server has been
    /// draining for too long.
    std::optional<time_point> no_new_work_after{};
    /// Receives no log entries from the primary.
    bool replication_stopped{false};
    /// Replication lag: from receiving an entry to applying it.
    std::chrono::milliseconds lag{usual_lag};
    /// Number of coming callers' statements that are executed but get no reply.
    int dropped_replies{0};
    breakage breaks_statements{breakage::none};
    /// Number of reads that were executed while a replica.
    std::size_t replica_reads{0};

    /// Limits the statements that run at once; see `statement_slots::limit`.
    void limit_slots(std::size_t slots, std::size_t queue, std::chrono::milliseconds work) {
        m_slots.limit(slots, queue, work);
    }

private:
    friend class replicated_service;
    struct session;

    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> run_slot(std::string_view line);
    std::string process_line(session& client, std::string line);
    std::string run_proxy_statement(session& client, const std::string& text);
    std::string run_caller_statement(session& client, const request& issued, const std::string& text);
    std::string run_statement(session& client, const request& issued, const std::string& text);
    std::string commit(session& client, const request& issued);
    std::string begin(session& client, bool read_only);
    bool step_down(const session& client, std::string_view text);
    [[nodiscard]] std::string status_row() const;
    void check_transaction(session& client, const request& issued);
    void check_statement(const session& client, const request& issued, const std::string& text);
    [[nodiscard]] bool knows_prepared_statement(const session& client, const request& issued, const std::string& text);
    std::string success_reply(session& client, const request& issued, const std::string& row);
    std::string error_reply(session& client, std::string_view code);
    [[nodiscard]] std::string ready_line(const session& client) const;
    [[nodiscard]] std::size_t applied() const;
    /// The position of the log's first `count` entries: the term and the number of the last one, or 0.0 if there is
    /// none. A new primary is therefore at a position of an earlier term until its first commit.
    [[nodiscard]] sql::log_position position_of(std::size_t count) const;
    [[nodiscard]] bool has_applied(sql::log_position at) const;

    asio::io_context& m_io;
    replicated_service& m_service;
    std::string m_id;
    std::string m_data_center;
    tcp::acceptor m_acceptor;
    tcp_forwarder m_forwarder;
    std::vector<log_entry> m_log;
    std::uint64_t m_term{1};
    std::set<session*> m_sessions;
    std::uint64_t m_signatures{0};
    bool m_running{false};
    bool m_log_lost{false};
    /// Was the primary of the current term until a STEPDOWN; its log is still replicated.
    bool m_stepped_down{false};
    statement_slots m_slots;
    /// Time of the last start since the Unix epoch.
    std::chrono::milliseconds m_started_at{0};
};

/// An emulated service of one primary and its replicas: asynchronous log
/// replication, and promotions guarded by fencing tokens.
class replicated_service {
public:
    replicated_service(asio::io_context& io, consistency_checker& checker, std::string name,
                       std::vector<tcp::endpoint> addresses);

    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] consistency_checker& checker() noexcept { return m_checker; }
    [[nodiscard]] std::vector<std::unique_ptr<emulated_server>>& servers() noexcept { return m_servers; }
    /// The primary, or the server that was primary until a STEPDOWN if no other was promoted since.
    [[nodiscard]] emulated_server& primary();
    [[nodiscard]] std::uint64_t term() const noexcept { return m_term; }
    [[nodiscard]] bool is_primary(const emulated_server& server) const {
        return m_primary == &server && !server.m_stepped_down;
    }

    /// Starts the promotion of server `id`; false when the token is older than
    /// the newest one seen, or the server is unknown or down.
    bool promote(const std::string& id, const std::string& holder, std::uint64_t token);

    /// Appends a commit to the log of the server `at`, from where it is replicated.
    void commit(emulated_server& at, std::vector<std::string> writes);

    /// Waits until enough replicas have received the first `count` log entries of `at`. Returns false if this takes too
    /// long, or if the server has ended or lost its leadership meanwhile, so that the last of them is not acknowledged.
    asio::awaitable<bool> await_synchronous_replicas(const emulated_server& at, std::uint64_t count);

    /// Returns a random time from a quarter of `mean` to seven quarters, so that statements end in another order than
    /// they began.
    [[nodiscard]] std::chrono::milliseconds vary(std::chrono::milliseconds mean) {
        std::uniform_int_distribution<std::int64_t> out{mean.count() / 4, mean.count() * 7 / 4};
        return std::chrono::milliseconds{out(m_random)};
    }

    /// A fault that may cost commits, such as a crash or a partition, occurred.
    void record_hard_fault() { m_last_hard_fault_at = boot_clock::now(); }

    /// A server lost its log, which synchronous replication does not cover beside the loss of a primary.
    void record_log_loss() { m_last_log_loss_at = boot_clock::now(); }

    std::size_t max_connections{16};
    /// Number of replicas that have to receive a commit before it is acknowledged.
    int synchronous_replicas{0};
    /// Called once, with the server of the next promotion order that is executed.
    std::function<void(emulated_server& successor)> on_promotion_order;
    /// Called once, with the proxy that made the primary step down.
    std::function<void(const std::string& proxy)> on_step_down;

private:
    asio::awaitable<void> complete_promotion(emulated_server& candidate, std::uint64_t token);
    asio::awaitable<void> replicate();
    void catch_up(emulated_server& replica);
    [[nodiscard]] static bool is_recent(const std::optional<time_point>& fault_at);

    asio::io_context& m_io;
    consistency_checker& m_checker;
    std::string m_name;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<emulated_server>> m_servers;
    emulated_server* m_primary{nullptr};
    std::uint64_t m_term{1};
    std::uint64_t m_token{0};
    std::map<std::uint64_t, std::string> m_holders;
    std::optional<time_point> m_last_hard_fault_at;
    std::optional<time_point> m_last_log_loss_at;
};

} // namespace cornellever::emulator
