#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consistency_checker.hpp"
#include "cornellever/core/asio.hpp"
#include "platform/line_socket.hpp"
#include "tcp_forwarder.hpp"

namespace cornellever::emulator {

/// An entry of a log: the writes of one commit.
struct log_entry {
    std::uint64_t term{0};
    std::vector<std::string> writes;
    /// When a replica applies it.
    time_point due;
};

class replicated_service;

/// One emulated server of a service, behind a gateway that injects faults.
class emulated_server {
public:
    emulated_server(asio::io_context& io, replicated_service& home, std::string id, std::string data_center,
                    tcp::endpoint address);

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const std::string& data_center() const noexcept { return m_data_center; }
    [[nodiscard]] gateway& path() noexcept { return m_gateway; }
    [[nodiscard]] bool running() const noexcept { return m_running; }
    [[nodiscard]] bool leads() const;
    [[nodiscard]] std::uint64_t received() const noexcept { return m_log.size(); }
    [[nodiscard]] std::string registration() const;

    void start();
    /// Connections end at once; the log stays.
    void crash();
    /// As a crash, and the log is gone. It may go on leading; no replica takes
    /// anything from it then.
    void crash_and_forget();
    /// A new server at the same address takes over the log.
    void rename(std::string id) { m_id = std::move(id); }

    bool draining{false};
    /// No statement may begin here later: it has long said that it leaves.
    std::optional<time_point> nothing_new_after{};
    /// Receives nothing from the primary.
    bool deaf{false};
    std::chrono::milliseconds lag{20};
    /// Answers of callers' statements that are lost though they run.
    int lose_answers{0};

private:
    friend class replicated_service;
    struct session;

    asio::awaitable<void> serve(tcp::socket socket);
    std::string answer(session& now, std::string line);
    std::string run_own(session& now, const std::string& text);
    std::string run_callers(session& now, const request& asked, const std::string& text);
    std::string run_statement(session& now, const request& asked, const std::string& text);
    std::string commit(session& now, const request& asked);
    std::string begin(session& now, bool read_only);
    void check_place(session& now, const request& asked);
    void check_statement(const session& now, const request& asked, const std::string& text);
    std::string success(session& now, const request& asked, const std::string& row);
    std::string refuse(session& now, std::string_view code);
    [[nodiscard]] std::string ready(const session& now) const;
    [[nodiscard]] std::size_t applied() const;
    [[nodiscard]] bool holds(sql::log_position at) const;

    asio::io_context& m_io;
    replicated_service& m_home;
    std::string m_id;
    std::string m_data_center;
    tcp::acceptor m_acceptor;
    gateway m_gateway;
    std::vector<log_entry> m_log;
    std::uint64_t m_term{1};
    std::set<session*> m_sessions;
    std::uint64_t m_signatures{0};
    bool m_running{false};
    bool m_forgot{false};
    /// Its last start, in Unix time.
    std::chrono::milliseconds m_born{0};
};

/// A service of one primary and its replicas: replication, promotion, and the
/// tokens of the orders.
class replicated_service {
public:
    replicated_service(asio::io_context& io, promises& told, std::string name, std::vector<tcp::endpoint> addresses);

    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] promises& told() noexcept { return m_promises; }
    [[nodiscard]] std::vector<std::unique_ptr<emulated_server>>& servers() noexcept { return m_servers; }
    [[nodiscard]] emulated_server& primary();
    [[nodiscard]] std::uint64_t term() const noexcept { return m_term; }
    [[nodiscard]] bool leads(const emulated_server& who) const { return m_primary == &who; }

    /// An order to promote: false when it is fenced or the server is down.
    bool promote(const std::string& id, const std::string& holder, std::uint64_t token);

    /// Adds a commit to the primary's log and sends it to the replicas.
    void commit(emulated_server& at, std::vector<std::string> writes);

    std::size_t max_connections{16};

private:
    asio::awaitable<void> lead_later(emulated_server& next, std::uint64_t token);
    asio::awaitable<void> replicate();
    void bring_up(emulated_server& replica);

    asio::io_context& m_io;
    promises& m_promises;
    std::string m_name;
    std::vector<std::unique_ptr<emulated_server>> m_servers;
    emulated_server* m_primary{nullptr};
    std::uint64_t m_term{1};
    std::uint64_t m_token{0};
    std::map<std::uint64_t, std::string> m_holders;
};

} // namespace cornellever::emulator
