#include "replicated_service.hpp"

#include <algorithm>
#include <cstdio>

#include "accept_each.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "platform/statement_codec.hpp"
#include "platform/status_server.hpp"

namespace cornellever::emulator {

namespace {

using namespace std::chrono_literals;

constexpr auto promotion_delay = 300ms;
constexpr auto replication_period = 15ms;
constexpr auto statement_delay = 2ms;

/// Where the server itself listens, behind its forwarder.
tcp::endpoint server_endpoint(const tcp::endpoint& address) {
    return {address.address(), static_cast<unsigned short>(address.port() + 1000)};
}

std::string next_word(std::string& rest) {
    const auto blank = rest.find(' ');
    auto word = rest.substr(0, blank);
    rest = blank == std::string::npos ? std::string{} : rest.substr(blank + 1);
    return word;
}

bool is_prefix(const std::vector<log_entry>& log, std::size_t count, const std::vector<log_entry>& of) {
    return count <= of.size() && std::equal(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(count), of.begin(),
                                            [](const log_entry& left, const log_entry& right) {
                                                return left.term == right.term && left.writes == right.writes;
                                            });
}

} // namespace

struct emulated_server::session {
    char state{'I'};
    /// The open transaction may write, so only the primary runs it; `term` is
    /// the term it began in.
    bool read_write{false};
    std::uint64_t term{0};
    /// The caller's session and transaction that the open transaction belongs to; 0: none yet.
    std::uint64_t owner{0};
    std::uint64_t transaction{0};
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    /// Sends no more replies, since one was dropped.
    bool unresponsive{false};
    platform::line_socket* connection{nullptr};

    void end_transaction() {
        state = 'I';
        read_write = false;
        owner = 0;
        transaction = 0;
        writes.clear();
    }
};

emulated_server::emulated_server(asio::io_context& io, replicated_service& service, std::string id,
                                 std::string data_center, tcp::endpoint address)
    : m_io{io}
    , m_service{service}
    , m_id{std::move(id)}
    , m_data_center{std::move(data_center)}
    , m_acceptor{io}
    , m_forwarder{io, address, server_endpoint(address)} {}

void emulated_server::start() {
    m_running = true;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_started_at = std::chrono::duration_cast<std::chrono::milliseconds>(now);
    if (auto bound = platform::listen_on(m_acceptor, server_endpoint(m_forwarder.address())); !bound) {
        throw std::runtime_error{bound.error().message};
    }
    const auto on_accept = [this](tcp::socket socket) {
        asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    };
    asio::co_spawn(m_io, accept_each(m_acceptor, on_accept), asio::detached);
    m_forwarder.accept_connections();
}

void emulated_server::crash() {
    m_running = false;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_forwarder.refuse_connections();
    for (auto* item : m_sessions) {
        item->connection->close();
    }
}

void emulated_server::crash_and_lose_log() {
    crash();
    m_log.clear();
    m_log_lost = is_primary();
}

bool emulated_server::is_primary() const {
    return m_service.is_primary(*this);
}

std::string emulated_server::registration() const {
    Json::Value out;
    out["Service"] = m_service.name();
    out["Address"] = m_forwarder.address().address().to_string() + ":" + std::to_string(m_forwarder.address().port());
    out["Zone"] = m_data_center;
    out["Version"] = "v1";
    out["Slots"] = 2;
    out["State"] = draining ? "draining" : "ready";
    out["WarmupLeftMs"] = 0;
    out["Seq"] = static_cast<Json::UInt64>(m_term);
    out["born"] = static_cast<Json::Int64>(m_started_at.count());
    out["DbRole"] = is_primary() ? "primary" : "replica";
    return rpc::to_text(out);
}

asio::awaitable<void> emulated_server::serve(tcp::socket socket) {
    platform::line_socket connection{std::move(socket)};
    session client;
    client.connection = &connection;
    const auto started_at = m_started_at;
    const bool at_capacity = m_sessions.size() >= m_service.max_connections;
    m_sessions.insert(&client);
    for (;;) {
        auto line = co_await connection.next_line(boot_clock::now() + 1h);
        if (!line || !m_running) {
            break;
        }
        if (line->starts_with("STARTUP ")) {
            const bool for_this_server =
                line->starts_with("STARTUP " + m_service.name() + " ") && line->ends_with(" " + m_id);
            connection.write(!for_this_server ? "ERROR MISROUTED -\r\n"
                             : at_capacity    ? "ERROR TOOMANY -\r\n"
                                              : "READY I 1.0\r\n");
            if (!for_this_server || at_capacity) {
                break;
            }
            continue;
        }
        if (!line->starts_with("QUERY - ")) {
            co_await sleep_for(statement_delay);
        }
        if (!m_running || m_started_at != started_at) {
            // The server crashed after it had received the statement.
            break;
        }
        const auto out = process_line(client, std::move(*line));
        if (!client.unresponsive) {
            connection.write(out);
        }
    }
    m_sessions.erase(&client);
}

std::size_t emulated_server::applied() const {
    if (is_primary()) {
        return m_log.size();
    }
    const auto now = boot_clock::now();
    const auto first_unapplied = std::ranges::find_if(m_log, [&](const log_entry& item) { return item.due > now; });
    return static_cast<std::size_t>(first_unapplied - m_log.begin());
}

bool emulated_server::has_applied(sql::log_position at) const {
    return at.number == 0 || (at.number <= applied() && m_log[at.number - 1].term == at.term);
}

std::string emulated_server::ready_line(const session& client) const {
    return std::string{"READY "} + client.state + " " + std::to_string(m_term) + "." + std::to_string(applied()) +
           "\r\n";
}

std::string emulated_server::error_reply(session& client, std::string_view code) {
    if (client.state != 'I') {
        client.state = 'E';
    }
    return "ERROR " + std::string{code} + " " + m_id + "\r\n" + ready_line(client);
}

std::string emulated_server::process_line(session& client, std::string line) {
    next_word(line);
    const auto id = next_word(line);
    if (line.starts_with("AFTER ")) {
        next_word(line);
        const auto needed = platform::parse_position(next_word(line));
        if (!needed || !has_applied(*needed)) {
            return error_reply(client, "LAGGING");
        }
    }
    if (id == "-") {
        return run_proxy_statement(client, line);
    }
    const auto* issued = m_service.checker().find_request(id);
    if (issued == nullptr) {
        m_service.checker().report_violation("unknown statement", m_id + " received " + id + " " + line);
        return error_reply(client, "FAILED");
    }
    if (client.state == 'E') {
        return error_reply(client, "MALFORMED");
    }
    auto out = run_caller_statement(client, *issued, line);
    if (dropped_replies > 0) {
        --dropped_replies;
        client.unresponsive = true;
    }
    return out;
}

std::string emulated_server::begin(session& client, bool read_only) {
    if (client.state != 'I') {
        return error_reply(client, "MALFORMED");
    }
    if (!read_only && !is_primary()) {
        return error_reply(client, "READONLY");
    }
    client.state = 'T';
    client.read_write = !read_only;
    client.term = m_term;
    return "COMPLETE -\r\n" + ready_line(client);
}

std::string emulated_server::run_proxy_statement(session& client, const std::string& text) {
    auto rest = text;
    const auto word = next_word(rest);
    if (word == "BEGIN") {
        return begin(client, rest == "READ");
    }
    if (word == "STATUS") {
        return "ROW " + std::string{is_primary() ? "primary" : "replica"} + " " + std::to_string(m_term) + " " +
               std::to_string(m_term) + "." + std::to_string(m_log.size()) + " 0 0 0 1\r\nCOMPLETE -\r\n" +
               ready_line(client);
    }
    if (word == "ROLLBACK") {
        client.end_transaction();
    } else if (client.state == 'E') {
        return error_reply(client, "MALFORMED");
    } else if (word == "SET") {
        const auto name = next_word(rest);
        client.values[name] = rest;
    } else if (word == "PREPARE") {
        const auto name = next_word(rest);
        client.prepared[name] = rest;
    } else if (word == "RESET") {
        client.values.clear();
        client.prepared.clear();
    } else if (word == "DEALLOCATE") {
        client.prepared.erase(rest);
    } else {
        m_service.checker().report_violation("unknown statement",
                                             m_id + " received a proxy statement it does not expect: " + text);
    }
    return "COMPLETE -\r\n" + ready_line(client);
}

/// Checks that the statement runs in its own transaction, that no transaction
/// mixes callers, and that a draining server gets no new work.
void emulated_server::check_transaction(session& client, const request& issued) {
    const bool in_transaction = client.state == 'T';
    if (in_transaction && client.owner != 0 &&
        (client.owner != issued.session || client.transaction != issued.transaction)) {
        m_service.checker().report_violation("wrong transaction",
                                             issued.id + " ran inside a transaction of another caller at " + m_id);
    }
    if (issued.transaction != 0 && !in_transaction) {
        m_service.checker().report_violation("wrong transaction",
                                             issued.id + " ran outside its transaction at " + m_id);
    }
    if (client.owner == 0 && no_new_work_after && boot_clock::now() > *no_new_work_after) {
        m_service.checker().report_violation("drain", issued.id + " began at " + m_id + ", which is draining");
    }
    if (in_transaction) {
        client.owner = issued.session;
        client.transaction = issued.transaction;
    }
}

/// Checks that the statement arrives as its caller sent it, with the session
/// variables of its caller.
void emulated_server::check_statement(const session& client, const request& issued, const std::string& text) {
    auto matches = text == issued.text;
    if (text.starts_with("EXECUTE ")) {
        auto rest = text;
        next_word(rest);
        const auto prepared = client.prepared.find(next_word(rest));
        auto expected = issued.text;
        next_word(expected);
        next_word(expected);
        matches = rest == expected && prepared != client.prepared.end() && prepared->second == issued.prepared;
    }
    if (!matches) {
        m_service.checker().report_violation("altered statement",
                                             issued.id + " was '" + issued.text + "' and arrived as '" + text + "'");
    }
    if (client.values != issued.values) {
        m_service.checker().report_violation("session variables",
                                             issued.id + " ran with other session variables at " + m_id);
    }
}

std::string emulated_server::run_caller_statement(session& client, const request& issued, const std::string& text) {
    const bool lost_primary_role = client.read_write && (!is_primary() || client.term != m_term);
    if (text == "COMMIT") {
        if ((lost_primary_role || m_log_lost) && !client.writes.empty()) {
            return error_reply(client, "READONLY");
        }
        return commit(client, issued);
    }
    const bool writes =
        text.starts_with("WRITE ") || (text.starts_with("EXECUTE ") && issued.prepared.starts_with("WRITE "));
    // A server that lost its log would reuse log positions, which the checker
    // could not tell from the old ones, so it accepts no writes.
    if (lost_primary_role || (writes && (!is_primary() || m_log_lost))) {
        return error_reply(client, "READONLY");
    }
    check_transaction(client, issued);
    check_statement(client, issued, text);
    if (!writes) {
        m_service.checker().check_read(issued, [this](sql::log_position at) { return has_applied(at); });
        return success_reply(client, issued, "row-" + issued.id + "-" + std::to_string(applied()));
    }
    if (client.state == 'T') {
        client.writes.push_back(issued.id);
    } else {
        m_service.commit(*this, {issued.id});
    }
    return success_reply(client, issued, "");
}

std::string emulated_server::commit(session& client, const request& issued) {
    if (issued.text != "COMMIT" || client.state != 'T' || client.owner != issued.session ||
        client.transaction != issued.transaction) {
        m_service.checker().report_violation(
            "wrong transaction", issued.id + " committed a transaction that is not its caller's at " + m_id);
        return error_reply(client, "FAILED");
    }
    const auto writes = client.writes;
    client.end_transaction();
    if (!writes.empty()) {
        m_service.commit(*this, writes);
    }
    return success_reply(client, issued, "");
}

std::string emulated_server::success_reply(session& client, const request& issued, const std::string& row) {
    const auto signature = m_id + "." + std::to_string(++m_signatures);
    m_service.checker().record_execution(issued.id, signature, row);
    return (row.empty() ? "" : "ROW " + row + "\r\n") + "COMPLETE " + signature + "\r\n" + ready_line(client);
}

replicated_service::replicated_service(asio::io_context& io, consistency_checker& checker, std::string name,
                                       std::vector<tcp::endpoint> addresses)
    : m_io{io}
    , m_checker{checker}
    , m_name{std::move(name)} {
    constexpr std::array data_centers{"walu", "laucala", "nabua"};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        m_servers.push_back(std::make_unique<emulated_server>(io, *this, "i-" + m_name + "-" + std::to_string(i),
                                                              data_centers.at(i % data_centers.size()), addresses[i]));
    }
    m_primary = m_servers.front().get();
    asio::co_spawn(io, replicate(), asio::detached);
}

emulated_server& replicated_service::primary() {
    return *m_primary;
}

void replicated_service::commit(emulated_server& at, std::vector<std::string> writes) {
    at.m_log.push_back({m_term, writes, boot_clock::now()});
    m_checker.record_commit(m_name, writes, {m_term, at.m_log.size()});
}

void replicated_service::catch_up(emulated_server& replica) {
    auto& log = replica.m_log;
    const auto& primary_log = m_primary->m_log;
    while (!is_prefix(log, log.size(), primary_log)) {
        log.pop_back();
    }
    const auto now = boot_clock::now();
    while (log.size() < primary_log.size()) {
        auto entry = primary_log[log.size()];
        entry.due = now + replica.lag;
        log.push_back(std::move(entry));
    }
    replica.m_term = m_term;
}

asio::awaitable<void> replicated_service::replicate() {
    for (;;) {
        co_await sleep_for(replication_period);
        if (!m_primary->m_running || m_primary->m_log_lost) {
            continue;
        }
        for (auto& item : m_servers) {
            if (item.get() != m_primary && item->m_running && !item->replication_stopped) {
                catch_up(*item);
            }
        }
    }
}

bool replicated_service::promote(const std::string& id, const std::string& holder, std::uint64_t token) {
    const auto found = std::ranges::find_if(m_servers, [&](const auto& item) { return item->id() == id; });
    const auto previous_holder = m_holders.emplace(token, holder).first->second;
    if (previous_holder != holder) {
        m_checker.report_violation("fencing token", previous_holder + " and " + holder +
                                                        " requested promotions with token " + std::to_string(token));
    }
    if (token < m_token || found == m_servers.end() || !(*found)->running()) {
        return false;
    }
    m_token = token;
    if (found->get() != m_primary) {
        asio::co_spawn(m_io, complete_promotion(**found, token), asio::detached);
    }
    return true;
}

asio::awaitable<void> replicated_service::complete_promotion(emulated_server& candidate, std::uint64_t token) {
    co_await sleep_for(promotion_delay);
    if (token < m_token || !candidate.m_running || m_primary == &candidate) {
        co_return;
    }
    candidate.m_term = ++m_term;
    std::printf("%s is primary of %s in term %llu with %zu log entries\n", candidate.m_id.c_str(), m_name.c_str(),
                static_cast<unsigned long long>(m_term), candidate.m_log.size());
    m_checker.record_rollback(m_name, candidate.m_log.size());
    m_primary->m_log_lost = false;
    m_primary = &candidate;
}

} // namespace cornellever::emulator
