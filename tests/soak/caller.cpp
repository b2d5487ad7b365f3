#include "caller.hpp"

#include "platform/tcp_connect.hpp"

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

/// A route's statement timeout (1.2 s) plus the time the proxy may need beyond it.
constexpr auto reply_timeout = 4s;
constexpr auto max_pause_ms = 30;
constexpr std::size_t max_id_bytes = 4096;

std::uint64_t next_id() {
    static std::uint64_t last = 0;
    return ++last;
}

bool guarantees_no_effect(sql::refusal why) {
    return why == sql::refusal::overloaded || why == sql::refusal::aborted || why == sql::refusal::behind ||
           why == sql::refusal::not_primary || why == sql::refusal::wrong_server ||
           why == sql::refusal::too_many_connections;
}

} // namespace

caller::caller(consistency_checker& checker, std::vector<database> databases, balancer pick_proxy,
               disconnect_handler on_disconnect, std::uint64_t seed)
    : m_checker{checker}
    , m_databases{std::move(databases)}
    , m_pick_proxy{std::move(pick_proxy)}
    , m_on_disconnect{std::move(on_disconnect)}
    , m_random{seed}
    , m_texts{~seed} {}

asio::awaitable<bool> caller::connect(tcp::endpoint proxy, const database& target_database) {
    m_connection.reset();
    auto socket =
        co_await platform::connect_until(co_await asio::this_coro::executor, proxy, boot_clock::now() + 500ms);
    if (!socket) {
        co_return false;
    }
    m_connection = std::make_unique<platform::line_socket>(std::move(*socket));
    m_proxy = proxy;
    m_database = &target_database;
    m_session = next_id();
    m_transaction = 0;
    m_values.clear();
    m_prepared.clear();
    m_decoder = {};
    m_connection->write("STARTUP " + target_database.name + " caller\r\n");
    const auto line = co_await m_connection->next_line(boot_clock::now() + 2s);
    co_return line && line->starts_with("READY");
}

asio::awaitable<caller::outcome> caller::execute(std::string text, std::string prepared) {
    const auto now = boot_clock::now();
    auto id = request_id();
    const auto framing = std::string_view{"QUERY  \r\n"}.size() + id.size();
    text.resize(std::min(text.size(), platform::max_message_bytes - framing));
    auto& issued = m_checker.record_request({.id = std::move(id),
                                             .text = text,
                                             .session = m_session,
                                             .transaction = m_transaction,
                                             .sent_at = now,
                                             .begun_at = m_transaction == 0 ? now : m_transaction_started_at,
                                             .target = m_database,
                                             .values = m_values,
                                             .prepared = std::move(prepared)});
    outcome out;
    out.reply.signature = issued.id;
    if (!m_connection->write("QUERY " + issued.id + " " + text + "\r\n")) {
        // Nothing was sent, so the statement cannot have run.
        co_return out;
    }
    for (;;) {
        const auto line = co_await m_connection->next_line(now + reply_timeout);
        if (!line) {
            m_on_disconnect(m_proxy, issued);
            co_return out;
        }
        const auto step = m_decoder.decode_line(*line);
        if (step == platform::reply_decoder::step::invalid) {
            m_checker.report_violation("malformed reply", issued.id + " was answered with '" + *line + "'");
            co_return out;
        }
        if (step == platform::reply_decoder::step::done) {
            break;
        }
    }
    out.reply = m_decoder.finish();
    out.replied = true;
    const bool has_checked_result =
        text.starts_with("READ ") || text.starts_with("WRITE ") || text.starts_with("EXECUTE ") || text == "COMMIT";
    if (has_checked_result && out.reply.ok()) {
        m_checker.check_success(issued, out.reply.signature, out.reply.rows.empty() ? "" : out.reply.rows.front());
    }
    const bool autocommit = m_transaction == 0 && (text.starts_with("WRITE ") || issued.prepared.starts_with("WRITE "));
    if (autocommit) {
        record_outcome(issued, out, {issued.id});
    }
    out.reply.rows = {issued.id};
    co_return out;
}

void caller::record_outcome(const request& issued, const outcome& result, const std::vector<std::string>& writes) {
    if (!result.replied) {
        return;
    }
    if (result.reply.ok()) {
        m_checker.record_acknowledged_commit(issued, writes);
    } else if (guarantees_no_effect(result.reply.why())) {
        m_checker.record_refusal(writes);
    }
}

asio::awaitable<void> caller::run(const bool& stop) {
    while (!stop) {
        co_await run_session(stop);
        co_await sleep_for(std::chrono::milliseconds{20 + random_below(60)});
    }
}

asio::awaitable<void> caller::run_session(const bool& stop) {
    const auto proxy = m_pick_proxy();
    if (!proxy) {
        co_return;
    }
    const auto& target_database = m_databases[random_below(m_databases.size())];
    const bool connected = co_await connect(*proxy, target_database);
    if (!connected) {
        co_return;
    }
    bool usable = co_await prepare_session();
    const auto operations = 1 + random_below(60);
    for (std::uint64_t i = 0; usable && !stop && i < operations; ++i) {
        usable = co_await run_operation();
        co_await sleep_for(std::chrono::milliseconds{random_below(max_pause_ms)});
    }
    if (usable) {
        m_connection->write("TERMINATE\r\n");
    }
    m_connection.reset();
}

/// Sets session variables and prepares statements; the names collide with those
/// of other sessions on purpose.
asio::awaitable<bool> caller::prepare_session() {
    for (std::uint64_t i = random_below(3); i > 0; --i) {
        const auto name = m_texts.one_in(4) ? m_texts.word() : "v" + std::to_string(random_below(3));
        const auto value = m_texts.one_in(4) ? m_texts.text() : std::to_string(random_below(4));
        const auto result = co_await execute("SET " + name + " " + value);
        if (!result.replied || !result.reply.ok()) {
            co_return false;
        }
        m_values[name] = value;
    }
    for (std::uint64_t i = random_below(3); i > 0; --i) {
        const auto name = m_texts.one_in(4) ? m_texts.word() : "s" + std::to_string(i);
        const auto prepared = std::string{random_below(2) == 0 ? "READ " : "WRITE "} + shape();
        const auto result = co_await execute("PREPARE " + name + " " + prepared);
        if (!result.replied || !result.reply.ok()) {
            co_return false;
        }
        m_prepared[name] = prepared;
    }
    co_return true;
}

std::string caller::statement(bool write, std::string& prepared) {
    const auto item = m_texts.one_in(8) ? m_texts.word() : "item" + std::to_string(random_below(40));
    const auto operands = write ? item + " " + m_texts.text() : item;
    for (const auto& [name, shape] : m_prepared) {
        if (shape.starts_with(write ? "WRITE" : "READ") && random_below(2) == 0) {
            prepared = shape;
            return with_rarely_maximum_length("EXECUTE " + name + " " + operands);
        }
    }
    return with_rarely_maximum_length((write ? "WRITE " : "READ ") + operands);
}

/// Appends to some texts what makes their messages of the maximum length; `execute` cuts off what does not fit.
std::string caller::with_rarely_maximum_length(std::string text) {
    constexpr std::uint64_t long_statements = 1000;
    if (m_texts.one_in(long_statements)) {
        text.resize(platform::max_message_bytes, 'd');
    }
    return text;
}

/// Returns a unique id, some of which hold any bytes.
std::string caller::request_id() {
    auto out = "q" + std::to_string(next_id());
    if (m_texts.one_in(4)) {
        out += "." + m_texts.word();
        out.resize(std::min(out.size(), max_id_bytes));
    }
    return out;
}

/// Returns a shape: one of a few that many callers prepare, one that contains such a shape, one that servers refuse, or
/// any text.
std::string caller::shape() {
    const auto common = [&] { return "shape" + std::to_string(random_below(6)); };
    switch (random_below(12)) {
    case 0:
        return common() + " " + common();
    case 1:
        return common() + (random_below(2) == 0 ? " WRITE " : " READ ") + common();
    case 2:
        return " " + common();
    case 3:
        return common() + " ";
    case 4: {
        auto text = m_texts.text();
        return text.empty() ? common() : text;
    }
    case 5:
        return std::string{emulated_server::refused_shape};
    default:
        return common();
    }
}

asio::awaitable<bool> caller::run_operation() {
    if (random_below(4) == 0) {
        co_return co_await run_transaction();
    }
    co_return co_await run_autocommit();
}

asio::awaitable<bool> caller::run_autocommit() {
    const bool write = random_below(4) == 0;
    const bool replied = co_await execute_autocommit(write);
    if (!replied || !write) {
        co_return replied;
    }
    // Reads its own write without a pause, before replicas have applied it.
    co_return co_await execute_autocommit(false);
}

asio::awaitable<bool> caller::execute_autocommit(bool write) {
    std::string prepared;
    auto text = statement(write, prepared);
    const auto result = co_await execute(std::move(text), prepared);
    if (result.replied && result.reply.state != sql::transaction_state::idle) {
        m_checker.report_violation("transaction state",
                                   result.reply.rows.front() + " outside a transaction did not end in the idle state");
    }
    co_return result.replied;
}

asio::awaitable<bool> caller::run_transaction() {
    const bool reads_only = random_below(3) == 0;
    m_transaction_started_at = boot_clock::now();
    const auto begun = co_await execute(reads_only ? "BEGIN READ" : "BEGIN");
    if (!begun.replied || !begun.reply.ok()) {
        co_return begun.replied;
    }
    m_transaction = next_id();
    std::vector<std::string> writes;
    for (std::uint64_t left = 1 + random_below(5); left > 0; --left) {
        std::string prepared;
        const bool write = !reads_only && random_below(3) == 0;
        auto text = statement(write, prepared);
        const auto result = co_await execute(std::move(text), prepared);
        if (write) {
            writes.push_back(result.reply.rows.empty() ? result.reply.signature : result.reply.rows.front());
        }
        if (!result.replied) {
            co_return false;
        }
        if (!result.reply.ok()) {
            break;
        }
        if (random_below(60) == 0) {
            // The caller disconnects in the middle of its transaction.
            m_transaction = 0;
            co_return false;
        }
        co_await sleep_for(std::chrono::milliseconds{random_below(max_pause_ms)});
    }
    co_return co_await end_transaction(writes);
}

asio::awaitable<bool> caller::end_transaction(const std::vector<std::string>& writes) {
    const bool commits = random_below(5) != 0;
    const auto result = co_await execute(commits ? "COMMIT" : "ROLLBACK");
    m_transaction = 0;
    if (!result.replied) {
        co_return false;
    }
    if (commits) {
        const auto* issued = m_checker.find_request(result.reply.rows.front());
        record_outcome(*issued, result, writes);
    } else {
        m_checker.record_refusal(writes);
    }
    co_return result.reply.state == sql::transaction_state::idle;
}

asio::awaitable<bool> caller::probe(tcp::endpoint proxy, const database& target_database) {
    const bool connected = co_await connect(proxy, target_database);
    if (!connected) {
        co_return false;
    }
    const auto wrote = co_await execute("WRITE item1 data");
    if (!wrote.replied || !wrote.reply.ok()) {
        co_return false;
    }
    const auto read = co_await execute("READ item1");
    co_return read.replied&& read.reply.ok();
}

} // namespace cornellever::soak
