#include "replicated_service.hpp"

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>

#include "accept_each.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "platform/statement_codec.hpp"
#include "platform/status_server.hpp"
#include "server_session.hpp"

namespace cornellever::emulator {

namespace {

using namespace std::chrono_literals;

constexpr auto unlimited_statement_time = 4ms;
constexpr std::size_t line_terminator_bytes = 2;

/// Returns the text in quotes, with escape sequences for unprintable bytes.
std::string printable(std::string_view text) {
    std::ostringstream out;
    for (const unsigned char item : text) {
        if (std::isprint(item) != 0 && item != '\\') {
            out << static_cast<char>(item);
        } else {
            out << "\\x" << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(item);
        }
    }
    return "'" + out.str() + "'";
}

/// Where the server itself listens, behind its forwarder.
tcp::endpoint server_endpoint(const tcp::endpoint& address) {
    return {address.address(), static_cast<unsigned short>(address.port() + 1000)};
}

} // namespace

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
    m_service.record_hard_fault();
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
    m_service.record_log_loss();
    m_log.clear();
    m_log_lost = is_primary();
}

bool emulated_server::is_primary() const {
    return m_service.is_primary(*this);
}

const std::string& emulated_server::service_name() const noexcept {
    return m_service.name();
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
        if (line->size() + line_terminator_bytes > platform::max_message_bytes) {
            m_service.checker().report_violation("long message", m_id + " received a message of " +
                                                                     std::to_string(line->size()) + " bytes");
            break;
        }
        if (line->starts_with("STARTUP ")) {
            client.user = line->substr(0, line->rfind(' '));
            client.user.erase(0, client.user.rfind(' ') + 1);
            const bool for_this_server =
                line->starts_with("STARTUP " + m_service.name() + " ") && line->ends_with(" " + m_id);
            connection.write(!for_this_server ? "ERROR MISROUTED -\r\n"
                             : at_capacity    ? "ERROR TOOMANY -\r\n"
                                              : ready_line(client));
            if (!for_this_server || at_capacity) {
                break;
            }
            continue;
        }
        const bool control = line->starts_with("QUERY - ");
        const bool admitted = co_await run_slot(*line);
        if (!m_running || m_started_at != started_at) {
            // The server crashed after it had received the statement.
            break;
        }
        if (!control && breaks_statements == breakage::reset) {
            break;
        }
        client.hangs = client.hangs || (!control && breaks_statements == breakage::hang);
        if (client.hangs) {
            continue;
        }
        const auto log_length = m_log.size();
        auto out = admitted ? process_line(client, std::move(*line)) : error_reply(client, "BUSY");
        if (m_log.size() > log_length && m_service.synchronous_replicas > 0) {
            const bool acknowledged = co_await m_service.await_synchronous_replicas(*this, m_log.size());
            if (!m_running || m_started_at != started_at) {
                break;
            }
            out = acknowledged ? std::move(out) : error_reply(client, "TIMEOUT");
        }
        if (!client.unresponsive) {
            connection.write(out);
        }
    }
    m_sessions.erase(&client);
}

/// Waits for the work time of a statement; returns whether the server accepted it. With limited slots, a statement of a
/// caller and a query of the server's status take one each, as in the real protocol.
asio::awaitable<bool> emulated_server::run_slot(std::string_view line) {
    const bool control = line.starts_with("QUERY - ");
    const bool takes_slot = !control || line.ends_with(" STATUS") || line.contains(" STEPDOWN ");
    if (!m_slots.limited()) {
        if (!control) {
            co_await sleep_for(m_service.vary(unlimited_statement_time));
        }
        co_return true;
    }
    if (!takes_slot) {
        co_return true;
    }
    const auto done_at = m_slots.take(boot_clock::now(), m_service.vary(m_slots.work()));
    if (!done_at) {
        co_return false;
    }
    co_await sleep_for(std::chrono::ceil<std::chrono::milliseconds>(*done_at - boot_clock::now()));
    m_slots.release();
    co_return true;
}

std::size_t emulated_server::applied() const {
    if (is_primary()) {
        return m_log.size();
    }
    const auto now = boot_clock::now();
    const auto first_unapplied = std::ranges::find_if(m_log, [&](const log_entry& item) { return item.due > now; });
    return static_cast<std::size_t>(first_unapplied - m_log.begin());
}

sql::log_position emulated_server::position_of(std::size_t count) const {
    return {count == 0 ? 0 : m_log[count - 1].term, count};
}

bool emulated_server::has_applied(sql::log_position at) const {
    return at.number == 0 || (at.number <= applied() && m_log[at.number - 1].term == at.term);
}

std::string emulated_server::ready_line(const session& client) const {
    return std::string{"READY "} + client.state + " " + sql::to_string(position_of(applied())) + "\r\n";
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
        if (!line.starts_with("READ ") && !line.starts_with("EXECUTE ") && !line.starts_with("BEGIN")) {
            m_service.checker().report_violation("unknown statement",
                                                 m_id + " received a position before " + printable(line));
            return error_reply(client, "MALFORMED");
        }
        if (!needed || !has_applied(*needed)) {
            return error_reply(client, "LAGGING");
        }
    }
    if (id == "-") {
        return run_proxy_statement(client, line);
    }
    const auto* issued = m_service.checker().find_request(id);
    if (issued == nullptr) {
        m_service.checker().report_violation("unknown statement", m_id + " received " + printable(id + " " + line));
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

/// Returns whether the statement that an EXECUTE names is prepared. Checks that one of a shape that is not refused is,
/// and that a statement whose shape is refused is not sent again and again.
bool emulated_server::knows_prepared_statement(const session& client, const request& issued, const std::string& text) {
    constexpr int max_attempts = 3;
    auto rest = text;
    next_word(rest);
    if (client.prepared.contains(next_word(rest))) {
        return true;
    }
    if (!issued.prepared.ends_with(refused_shape)) {
        m_service.checker().report_violation("unknown prepared statement",
                                             printable(issued.id + " " + issued.text.substr(0, 200)) + " at " + m_id);
    } else if (m_service.checker().count_unprepared(issued.id) > max_attempts) {
        m_service.checker().report_violation("repeated refusal", printable(issued.id) + " was sent again to " + m_id);
    }
    return false;
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
        constexpr std::size_t shown_bytes = 300;
        m_service.checker().report_violation(
            "altered statement", printable(issued.id) + " was " + printable(issued.text.substr(0, shown_bytes)) +
                                     " with " + printable(issued.prepared.substr(0, shown_bytes)) + " and arrived as " +
                                     printable(text.substr(0, shown_bytes)));
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
    if (text.starts_with("EXECUTE ") && !knows_prepared_statement(client, issued, text)) {
        return error_reply(client, "NOSTMT");
    }
    check_transaction(client, issued);
    check_statement(client, issued, text);
    if (!writes) {
        replica_reads += is_primary() ? 0 : 1;
        m_service.checker().check_read(issued, m_service.name(),
                                       [this](sql::log_position at) { return has_applied(at); });
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

} // namespace cornellever::emulator
