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

constexpr auto promotion_takes = 300ms;
constexpr auto replication_period = 15ms;
constexpr auto statement_takes = 2ms;

/// Where the server itself listens, behind its gateway.
tcp::endpoint behind(const tcp::endpoint& address) {
    return {address.address(), static_cast<unsigned short>(address.port() + 1000)};
}

std::string take_word(std::string& rest) {
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
    /// A transaction that only the primary runs, and the term it began in.
    bool plain{false};
    std::uint64_t term{0};
    /// Whose statements the open transaction holds, and which transaction.
    std::uint64_t owner{0};
    std::uint64_t transaction{0};
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    /// Answers nothing more: an answer was lost.
    bool mute{false};
    platform::line_socket* lines{nullptr};

    void end_transaction() {
        state = 'I';
        plain = false;
        owner = 0;
        transaction = 0;
        writes.clear();
    }
};

emulated_server::emulated_server(asio::io_context& io, replicated_service& home, std::string id,
                                 std::string data_center, tcp::endpoint address)
    : m_io{io}
    , m_home{home}
    , m_id{std::move(id)}
    , m_data_center{std::move(data_center)}
    , m_acceptor{io}
    , m_gateway{io, address, behind(address)} {}

void emulated_server::start() {
    m_running = true;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(now);
    if (auto bound = platform::listen_on(m_acceptor, behind(m_gateway.address())); !bound) {
        throw std::runtime_error{bound.error().message};
    }
    const auto take = [this](tcp::socket socket) { asio::co_spawn(m_io, serve(std::move(socket)), asio::detached); };
    asio::co_spawn(m_io, accept_each(m_acceptor, take), asio::detached);
    m_gateway.open();
}

void emulated_server::crash() {
    m_running = false;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_gateway.refuse();
    for (auto* item : m_sessions) {
        item->lines->close();
    }
}

void emulated_server::crash_and_forget() {
    crash();
    m_log.clear();
    m_forgot = leads();
}

bool emulated_server::leads() const {
    return m_home.leads(*this);
}

std::string emulated_server::registration() const {
    Json::Value out;
    out["Service"] = m_home.name();
    out["Address"] = m_gateway.address().address().to_string() + ":" + std::to_string(m_gateway.address().port());
    out["Zone"] = m_data_center;
    out["Version"] = "v1";
    out["Slots"] = 2;
    out["State"] = draining ? "draining" : "ready";
    out["WarmupLeftMs"] = 0;
    out["Seq"] = static_cast<Json::UInt64>(m_term);
    out["born"] = static_cast<Json::Int64>(m_born.count());
    out["DbRole"] = leads() ? "primary" : "replica";
    return rpc::to_text(out);
}

asio::awaitable<void> emulated_server::serve(tcp::socket socket) {
    platform::line_socket lines{std::move(socket)};
    session now;
    now.lines = &lines;
    const auto born = m_born;
    const bool full = m_sessions.size() >= m_home.max_connections;
    m_sessions.insert(&now);
    for (;;) {
        auto line = co_await lines.next_line(boot_clock::now() + 1h);
        if (!line || !m_running) {
            break;
        }
        if (line->starts_with("STARTUP ")) {
            const bool mine = line->starts_with("STARTUP " + m_home.name() + " ") && line->ends_with(" " + m_id);
            lines.write(!mine ? "ERROR MISROUTED -\r\n" : full ? "ERROR TOOMANY -\r\n" : "READY I 1.0\r\n");
            if (!mine || full) {
                break;
            }
            continue;
        }
        if (!line->starts_with("QUERY - ")) {
            co_await sleep_for(statement_takes);
        }
        if (!m_running || m_born != born) {
            // The process that took the statement has crashed meanwhile.
            break;
        }
        const auto out = answer(now, std::move(*line));
        if (!now.mute) {
            lines.write(out);
        }
    }
    m_sessions.erase(&now);
}

std::size_t emulated_server::applied() const {
    if (leads()) {
        return m_log.size();
    }
    const auto now = boot_clock::now();
    const auto late = std::ranges::find_if(m_log, [&](const log_entry& item) { return item.due > now; });
    return static_cast<std::size_t>(late - m_log.begin());
}

bool emulated_server::holds(sql::log_position at) const {
    return at.number == 0 || (at.number <= applied() && m_log[at.number - 1].term == at.term);
}

std::string emulated_server::ready(const session& now) const {
    return std::string{"READY "} + now.state + " " + std::to_string(m_term) + "." + std::to_string(applied()) + "\r\n";
}

std::string emulated_server::refuse(session& now, std::string_view code) {
    if (now.state != 'I') {
        now.state = 'E';
    }
    return "ERROR " + std::string{code} + " " + m_id + "\r\n" + ready(now);
}

std::string emulated_server::answer(session& now, std::string line) {
    take_word(line);
    const auto id = take_word(line);
    if (line.starts_with("AFTER ")) {
        take_word(line);
        const auto needed = platform::parse_position(take_word(line));
        if (!needed || !holds(*needed)) {
            return refuse(now, "LAGGING");
        }
    }
    if (id == "-") {
        return run_own(now, line);
    }
    const auto* asked = m_home.told().find(id);
    if (asked == nullptr) {
        m_home.told().broken("unasked", m_id + " was sent " + id + " " + line);
        return refuse(now, "FAILED");
    }
    if (now.state == 'E') {
        return refuse(now, "MALFORMED");
    }
    auto out = run_callers(now, *asked, line);
    if (lose_answers > 0) {
        --lose_answers;
        now.mute = true;
    }
    return out;
}

std::string emulated_server::begin(session& now, bool read_only) {
    if (now.state != 'I') {
        return refuse(now, "MALFORMED");
    }
    if (!read_only && !leads()) {
        return refuse(now, "READONLY");
    }
    now.state = 'T';
    now.plain = !read_only;
    now.term = m_term;
    return "COMPLETE -\r\n" + ready(now);
}

std::string emulated_server::run_own(session& now, const std::string& text) {
    auto rest = text;
    const auto word = take_word(rest);
    if (word == "BEGIN") {
        return begin(now, rest == "READ");
    }
    if (word == "STATUS") {
        return "ROW " + std::string{leads() ? "primary" : "replica"} + " " + std::to_string(m_term) + " " +
               std::to_string(m_term) + "." + std::to_string(m_log.size()) + " 0 0 0 1\r\nCOMPLETE -\r\n" + ready(now);
    }
    if (word == "ROLLBACK") {
        now.end_transaction();
    } else if (now.state == 'E') {
        return refuse(now, "MALFORMED");
    } else if (word == "SET") {
        const auto name = take_word(rest);
        now.values[name] = rest;
    } else if (word == "PREPARE") {
        const auto name = take_word(rest);
        now.prepared[name] = rest;
    } else if (word == "RESET") {
        now.values.clear();
        now.prepared.clear();
    } else if (word == "DEALLOCATE") {
        now.prepared.erase(rest);
    } else {
        m_home.told().broken("unasked", m_id + " was sent a statement of the proxy's own: " + text);
    }
    return "COMPLETE -\r\n" + ready(now);
}

/// The right transaction on the right connection, and never two callers' in one.
void emulated_server::check_place(session& now, const request& asked) {
    const bool in_transaction = now.state == 'T';
    if (in_transaction && now.owner != 0 && (now.owner != asked.session || now.transaction != asked.transaction)) {
        m_home.told().broken("pinned", asked.id + " ran inside a transaction of another caller at " + m_id);
    }
    if (asked.transaction != 0 && !in_transaction) {
        m_home.told().broken("pinned", asked.id + " ran outside its transaction at " + m_id);
    }
    if (now.owner == 0 && nothing_new_after && boot_clock::now() > *nothing_new_after) {
        m_home.told().broken("drain", asked.id + " began at " + m_id + ", which is leaving");
    }
    if (in_transaction) {
        now.owner = asked.session;
        now.transaction = asked.transaction;
    }
}

/// The statement as its caller sent it, in a session like its caller's.
void emulated_server::check_statement(const session& now, const request& asked, const std::string& text) {
    auto same = text == asked.text;
    if (text.starts_with("EXECUTE ")) {
        auto rest = text;
        take_word(rest);
        const auto prepared = now.prepared.find(take_word(rest));
        auto told = asked.text;
        take_word(told);
        take_word(told);
        same = rest == told && prepared != now.prepared.end() && prepared->second == asked.prepared;
    }
    if (!same) {
        m_home.told().broken("unasked", asked.id + " was '" + asked.text + "' and came as '" + text + "'");
    }
    if (now.values != asked.values) {
        m_home.told().broken("pinned", asked.id + " ran with other session values at " + m_id);
    }
}

std::string emulated_server::run_callers(session& now, const request& asked, const std::string& text) {
    const bool lost_lead = now.plain && (!leads() || now.term != m_term);
    if (text == "COMMIT") {
        if ((lost_lead || m_forgot) && !now.writes.empty()) {
            return refuse(now, "READONLY");
        }
        return commit(now, asked);
    }
    const bool writes =
        text.starts_with("WRITE ") || (text.starts_with("EXECUTE ") && asked.prepared.starts_with("WRITE "));
    // Without its log a server numbers its commits anew, which the promises
    // could not tell from the old ones: it takes none.
    if (lost_lead || (writes && (!leads() || m_forgot))) {
        return refuse(now, "READONLY");
    }
    check_place(now, asked);
    check_statement(now, asked, text);
    if (!writes) {
        m_home.told().read_ran(asked, [this](sql::log_position at) { return holds(at); });
        return success(now, asked, "row-" + asked.id + "-" + std::to_string(applied()));
    }
    if (now.state == 'T') {
        now.writes.push_back(asked.id);
    } else {
        m_home.commit(*this, {asked.id});
    }
    return success(now, asked, "");
}

std::string emulated_server::commit(session& now, const request& asked) {
    if (asked.text != "COMMIT" || now.state != 'T' || now.owner != asked.session ||
        now.transaction != asked.transaction) {
        m_home.told().broken("pinned", asked.id + " committed what is not its caller's at " + m_id);
        return refuse(now, "FAILED");
    }
    const auto writes = now.writes;
    now.end_transaction();
    if (!writes.empty()) {
        m_home.commit(*this, writes);
    }
    return success(now, asked, "");
}

std::string emulated_server::success(session& now, const request& asked, const std::string& row) {
    const auto signature = m_id + "." + std::to_string(++m_signatures);
    m_home.told().ran(asked.id, signature, row);
    return (row.empty() ? "" : "ROW " + row + "\r\n") + "COMPLETE " + signature + "\r\n" + ready(now);
}

replicated_service::replicated_service(asio::io_context& io, promises& told, std::string name,
                                       std::vector<tcp::endpoint> addresses)
    : m_io{io}
    , m_promises{told}
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
    m_promises.committed(m_name, writes, {m_term, at.m_log.size()});
}

void replicated_service::bring_up(emulated_server& replica) {
    auto& log = replica.m_log;
    const auto& newest = m_primary->m_log;
    while (!is_prefix(log, log.size(), newest)) {
        log.pop_back();
    }
    const auto now = boot_clock::now();
    while (log.size() < newest.size()) {
        auto entry = newest[log.size()];
        entry.due = now + replica.lag;
        log.push_back(std::move(entry));
    }
    replica.m_term = m_term;
}

asio::awaitable<void> replicated_service::replicate() {
    for (;;) {
        co_await sleep_for(replication_period);
        if (!m_primary->m_running || m_primary->m_forgot) {
            continue;
        }
        for (auto& item : m_servers) {
            if (item.get() != m_primary && item->m_running && !item->deaf) {
                bring_up(*item);
            }
        }
    }
}

bool replicated_service::promote(const std::string& id, const std::string& holder, std::uint64_t token) {
    const auto found = std::ranges::find_if(m_servers, [&](const auto& item) { return item->id() == id; });
    const auto before = m_holders.emplace(token, holder).first->second;
    if (before != holder) {
        m_promises.broken("one", before + " and " + holder + " ordered with token " + std::to_string(token));
    }
    if (token < m_token || found == m_servers.end() || !(*found)->running()) {
        return false;
    }
    m_token = token;
    if (found->get() != m_primary) {
        asio::co_spawn(m_io, lead_later(**found, token), asio::detached);
    }
    return true;
}

asio::awaitable<void> replicated_service::lead_later(emulated_server& next, std::uint64_t token) {
    co_await sleep_for(promotion_takes);
    if (token < m_token || !next.m_running || m_primary == &next) {
        co_return;
    }
    next.m_term = ++m_term;
    std::printf("%s leads %s in term %llu with %zu entries\n", next.m_id.c_str(), m_name.c_str(),
                static_cast<unsigned long long>(m_term), next.m_log.size());
    m_promises.rolled_back(m_name, next.m_log.size());
    m_primary->m_forgot = false;
    m_primary = &next;
}

} // namespace cornellever::emulator
