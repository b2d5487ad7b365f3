#include "cornellever/backend/instance.hpp"

#include <fstream>
#include <sstream>

#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::backend {

namespace {

constexpr auto ship_poll = std::chrono::milliseconds{5};
constexpr auto heartbeat_interval = std::chrono::milliseconds{50};
constexpr auto ship_deadline = std::chrono::milliseconds{1000};
constexpr auto ship_retry = std::chrono::milliseconds{100};
constexpr std::size_t ship_batch = 256;
constexpr auto database_file = "data.sqlite";

std::string_view to_string(role value) {
    return value == role::primary ? "primary" : "replica";
}

result<std::string> read_file(const std::filesystem::path& path) {
    std::ifstream in{path};
    if (!in) {
        return fail(errc::internal, "cannot read " + path.string());
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

asio::awaitable<void> sleep_for(asio::any_io_executor executor, std::chrono::milliseconds duration) {
    asio::steady_timer timer{executor, duration};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Json::Value statement_answer(const statement_result& ran) {
    Json::Value out;
    out["columns"] = ran.columns;
    out["rows"] = ran.rows;
    out["changes"] = static_cast<Json::Int64>(ran.changes);
    return out;
}

} // namespace

/// One caller connection's SQLite connection and open transaction.
struct instance::client : rpc::connection_state {
    explicit client(sqlite_connection connection) : db{std::move(connection)} {}

    sqlite_connection db;
    bool in_transaction{false};
    std::vector<logged_statement> pending;
};

result<std::unique_ptr<instance>> instance::create(asio::any_io_executor executor, instance_settings settings) {
    std::error_code ec;
    std::filesystem::create_directories(settings.folder, ec);
    for (const auto* suffix : {"", "-wal", "-shm"}) {
        std::filesystem::remove(settings.folder / (std::string{database_file} + suffix), ec);
    }
    auto apply = sqlite_connection::open(settings.folder / database_file);
    if (!apply) {
        return std::unexpected{apply.error()};
    }
    for (const auto& script : settings.scripts) {
        auto text = read_file(script);
        if (!text) {
            return std::unexpected{text.error()};
        }
        auto ran = apply->exec(*text);
        if (!ran) {
            return fail(errc::internal, script.string() + ": " + ran.error().message);
        }
    }
    return std::unique_ptr<instance>{new instance{std::move(executor), std::move(settings), std::move(*apply)}};
}

instance::instance(asio::any_io_executor executor, instance_settings settings, sqlite_connection apply)
    : m_executor{std::move(executor)}
    , m_settings{std::move(settings)}
    , m_apply{std::move(apply)}
    , m_role{m_settings.starts_as}
    , m_term{m_settings.term}
    , m_fresh_as_of{std::chrono::steady_clock::now()}
    , m_lag{m_settings.lag} {}

std::uint64_t instance::position() const noexcept {
    return m_role == role::primary ? m_log.last() : m_applied;
}

void instance::bind(rpc::server& rpc) {
    const auto add = [&](std::string name, answer (instance::*call)(params, rpc::connection&)) {
        rpc.on(std::move(name), [this, call](params in, rpc::connection& conn) { return (this->*call)(in, conn); });
    };
    add("execute", &instance::execute);
    add("begin", &instance::begin);
    add("commit", &instance::commit);
    add("rollback", &instance::rollback);
    add("replicate", &instance::replicate);
    add("status", &instance::status);
    add("dump", &instance::status);
    add("fault.set", &instance::set_fault);
}

void instance::start() {
    for (const auto& replica : m_settings.replicas) {
        asio::co_spawn(m_executor, ship(replica), asio::detached);
    }
}

asio::awaitable<result<instance::client*>> instance::attach(rpc::connection& conn) {
    m_connections_seen = std::max(m_connections_seen, conn.id);
    if (conn.id < m_silent_below) {
        // Fault "silent connection": this connection stops answering for good.
        conn.go_silent = true;
        co_return fail(errc::outcome_unknown, "silent");
    }
    if (!conn.state) {
        // A new connection costs what the brief says it costs (12 to 30 ms).
        co_await sleep_for(m_executor, m_settings.connect_delay);
        auto opened = sqlite_connection::open(m_settings.folder / database_file);
        if (!opened) {
            co_return std::unexpected{opened.error()};
        }
        conn.state = std::make_unique<client>(std::move(*opened));
    }
    co_return static_cast<client*>(conn.state.get());
}

std::chrono::milliseconds instance::staleness() const {
    if (m_role == role::primary) {
        return std::chrono::milliseconds{0};
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_fresh_as_of);
}

result<void> instance::admit_read(params in) const {
    if (m_role == role::primary) {
        return {};
    }
    const auto needed = in.get("min_position", 0).asUInt64();
    if (m_applied < needed) {
        return fail(errc::behind, "replica " + m_settings.name + " is at position " + std::to_string(m_applied) +
                                      ", the session needs " + std::to_string(needed));
    }
    if (in.isMember("max_staleness_ms") && staleness().count() > in["max_staleness_ms"].asInt64()) {
        return fail(errc::behind,
                    "replica " + m_settings.name + " is " + std::to_string(staleness().count()) + " ms stale");
    }
    return {};
}

result<void> instance::admit_write(params in) const {
    if (m_role != role::primary) {
        return fail(errc::not_run, "instance " + m_settings.name + " is a replica and takes no writes");
    }
    if (in.isMember("term") && in["term"].asUInt64() != m_term) {
        return fail(errc::fenced, "instance " + m_settings.name + " is in term " + std::to_string(m_term) +
                                      ", the request in term " + in["term"].asString());
    }
    return {};
}

instance::answer instance::execute(params in, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto& session = **attached;
    const auto sql = in["sql"].asString();
    auto kind = session.db.classify(sql);
    if (!kind) {
        co_return std::unexpected{kind.error()};
    }
    auto admitted = *kind == access::write ? admit_write(in) : admit_read(in);
    if (!admitted) {
        log_event(event::backend_refused,
                  "instance=" + m_settings.name + " reason=\"" + admitted.error().message + "\"");
        co_return std::unexpected{admitted.error()};
    }
    const auto& bound = in.isMember("params") ? in["params"] : Json::Value{Json::arrayValue};
    auto ran = session.db.run(sql, bound);
    if (!ran) {
        co_return std::unexpected{ran.error()};
    }
    if (*kind == access::write) {
        if (session.in_transaction) {
            session.pending.push_back(logged_statement{sql, bound});
        } else {
            m_log.append(m_term, {logged_statement{sql, bound}}, std::chrono::steady_clock::now());
            log_event(event::backend_write, "instance=" + m_settings.name + " position=" + std::to_string(position()));
        }
    }
    auto out = statement_answer(*ran);
    out["position"] = static_cast<Json::UInt64>(position());
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["instance"] = m_settings.name;
    co_return out;
}

instance::answer instance::begin(params in, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto admitted = admit_write(in);
    if (!admitted) {
        co_return std::unexpected{admitted.error()};
    }
    auto& session = **attached;
    if (session.in_transaction) {
        co_return fail(errc::bad_request, "a transaction is already open on this connection");
    }
    auto opened = session.db.exec("BEGIN IMMEDIATE");
    if (!opened) {
        co_return std::unexpected{opened.error()};
    }
    session.in_transaction = true;
    session.pending.clear();
    co_return Json::Value{Json::objectValue};
}

instance::answer instance::commit(params, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto& session = **attached;
    if (!session.in_transaction) {
        co_return fail(errc::bad_request, "no transaction is open on this connection");
    }
    auto committed = session.db.exec("COMMIT");
    session.in_transaction = false;
    if (!committed) {
        session.pending.clear();
        co_return fail(errc::not_run,
                       "commit failed and the transaction was rolled back: " + committed.error().message);
    }
    if (!session.pending.empty()) {
        m_log.append(m_term, std::move(session.pending), std::chrono::steady_clock::now());
        session.pending.clear();
    }
    Json::Value out;
    out["position"] = static_cast<Json::UInt64>(position());
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["instance"] = m_settings.name;
    co_return out;
}

instance::answer instance::rollback(params, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto& session = **attached;
    if (session.in_transaction) {
        auto undone = session.db.exec("ROLLBACK");
        session.in_transaction = false;
        session.pending.clear();
        if (!undone) {
            co_return std::unexpected{undone.error()};
        }
    }
    co_return Json::Value{Json::objectValue};
}

result<void> instance::apply(const log_entry& entry) {
    auto opened = m_apply.exec("BEGIN IMMEDIATE");
    if (!opened) {
        return opened;
    }
    for (const auto& statement : entry.statements) {
        auto ran = m_apply.run(statement.sql, statement.params);
        if (!ran) {
            (void)m_apply.exec("ROLLBACK");
            return std::unexpected{ran.error()};
        }
    }
    auto committed = m_apply.exec("COMMIT");
    if (committed) {
        m_applied = entry.position;
    }
    return committed;
}

instance::answer instance::replicate(params in, rpc::connection&) {
    const auto term = in["term"].asUInt64();
    if (term < m_term) {
        co_return fail(errc::fenced, "replica " + m_settings.name + " is in term " + std::to_string(m_term));
    }
    if (m_role == role::primary) {
        co_return fail(errc::fenced, "instance " + m_settings.name + " is a primary");
    }
    m_term = term;
    std::uint64_t expected_last = m_applied;
    for (const auto& item : in["entries"]) {
        const auto entry = entry_from_json(item);
        expected_last = std::max(expected_last, entry.position);
        if (entry.position != m_applied + 1) {
            continue;
        }
        auto applied = apply(entry);
        if (!applied) {
            log_event(event::backend_refused, "instance=" + m_settings.name +
                                                  " position=" + std::to_string(entry.position) + " reason=\"" +
                                                  applied.error().message + "\"");
            break;
        }
    }
    if (m_applied == expected_last) {
        m_fresh_as_of = std::chrono::steady_clock::now() - std::chrono::milliseconds{in["behind_ms"].asInt64()};
    }
    Json::Value out;
    out["applied"] = static_cast<Json::UInt64>(m_applied);
    co_return out;
}

asio::awaitable<void> instance::ship(tcp::endpoint replica) {
    auto link = std::make_unique<rpc::channel>(m_executor, replica);
    std::uint64_t acked = 0;
    auto last_sent = std::chrono::steady_clock::time_point{};
    while (m_role == role::primary) {
        const auto now = std::chrono::steady_clock::now();
        Json::Value entries{Json::arrayValue};
        std::uint64_t through = acked;
        for (const auto* entry : m_log.after(acked, ship_batch)) {
            if (entry->committed_at + m_lag > now) {
                break;
            }
            entries.append(to_json(*entry));
            through = entry->position;
        }
        if (entries.empty() && now - last_sent < heartbeat_interval) {
            co_await sleep_for(m_executor, ship_poll);
            continue;
        }
        const auto* next = m_log.at(through + 1);
        Json::Value params;
        params["term"] = static_cast<Json::UInt64>(m_term);
        params["entries"] = entries;
        params["behind_ms"] =
            next == nullptr
                ? Json::Int64{0}
                : static_cast<Json::Int64>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(now - next->committed_at).count());
        last_sent = now;
        auto answer = co_await link->call("replicate", params, ship_deadline);
        if (answer) {
            acked = (*answer)["applied"].asUInt64();
            if (!entries.empty()) {
                log_event(event::backend_shipped,
                          "to=" + cornellever::to_string(replica) + " through=" + std::to_string(acked));
            }
            continue;
        }
        if (!link->usable()) {
            link = std::make_unique<rpc::channel>(m_executor, replica);
        }
        co_await sleep_for(m_executor, ship_retry);
    }
}

Json::Value instance::describe() const {
    Json::Value out;
    out["name"] = m_settings.name;
    out["role"] = std::string{to_string(m_role)};
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["position"] = static_cast<Json::UInt64>(position());
    out["staleness_ms"] = static_cast<Json::Int64>(staleness().count());
    out["lag_ms"] = static_cast<Json::Int64>(m_lag.count());
    out["log_entries"] = static_cast<Json::UInt64>(m_log.size());
    return out;
}

instance::answer instance::status(params, rpc::connection&) {
    co_return describe();
}

instance::answer instance::set_fault(params in, rpc::connection& conn) {
    if (in.isMember("lag_ms")) {
        m_lag = std::chrono::milliseconds{in["lag_ms"].asInt64()};
    }
    if (in.get("silence_open_connections", false).asBool()) {
        m_silent_below = conn.id;
    }
    co_return describe();
}

} // namespace cornellever::backend
