#include "caller.hpp"

#include "platform/tcp_connect.hpp"

namespace cornellever::soak {

namespace {

using namespace std::chrono_literals;

/// A route's statement timeout, and what the proxy may take beyond it.
constexpr auto answer_limit = 4s;
constexpr auto longest_pause_ms = 30;

std::uint64_t next_number() {
    static std::uint64_t last = 0;
    return ++last;
}

bool promises_nothing_kept(sql::refusal why) {
    return why == sql::refusal::overloaded || why == sql::refusal::aborted || why == sql::refusal::behind ||
           why == sql::refusal::not_primary || why == sql::refusal::wrong_server ||
           why == sql::refusal::too_many_connections;
}

} // namespace

caller::caller(promises& told, std::vector<database> databases, balancer next, on_cut cut, std::uint64_t seed)
    : m_promises{told}
    , m_databases{std::move(databases)}
    , m_next{std::move(next)}
    , m_cut{std::move(cut)}
    , m_random{seed} {}

asio::awaitable<bool> caller::connect(tcp::endpoint at, const database& on) {
    m_lines.reset();
    auto socket = co_await platform::connect_until(co_await asio::this_coro::executor, at, boot_clock::now() + 500ms);
    if (!socket) {
        co_return false;
    }
    m_lines = std::make_unique<platform::line_socket>(std::move(*socket));
    m_at = at;
    m_database = &on;
    m_session = next_number();
    m_transaction = 0;
    m_values.clear();
    m_prepared.clear();
    m_decoder = {};
    m_lines->write("STARTUP " + on.name + " caller\r\n");
    const auto line = co_await m_lines->next_line(boot_clock::now() + 2s);
    co_return line && line->starts_with("READY");
}

asio::awaitable<caller::outcome> caller::ask(std::string text, std::string prepared) {
    const auto now = boot_clock::now();
    auto& asked = m_promises.sent({.id = "q" + std::to_string(next_number()),
                                   .text = text,
                                   .session = m_session,
                                   .transaction = m_transaction,
                                   .sent_at = now,
                                   .begun_at = m_transaction == 0 ? now : m_begun,
                                   .at = m_database,
                                   .values = m_values,
                                   .prepared = std::move(prepared)});
    outcome out;
    out.reply.signature = asked.id;
    if (!m_lines->write("QUERY " + asked.id + " " + text + "\r\n")) {
        // Nothing was sent.
        co_return out;
    }
    for (;;) {
        const auto line = co_await m_lines->next_line(now + answer_limit);
        if (!line) {
            m_cut(m_at, asked);
            co_return out;
        }
        const auto step = m_decoder.decode_line(*line);
        if (step == platform::reply_decoder::step::invalid) {
            m_promises.broken("whole answer", asked.id + " was answered '" + *line + "'");
            co_return out;
        }
        if (step == platform::reply_decoder::step::done) {
            break;
        }
    }
    out.reply = m_decoder.finish();
    out.answered = true;
    const bool own =
        text.starts_with("READ ") || text.starts_with("WRITE ") || text.starts_with("EXECUTE ") || text == "COMMIT";
    if (own && out.reply.ok()) {
        m_promises.succeeded(asked, out.reply.signature, out.reply.rows.empty() ? "" : out.reply.rows.front());
    }
    const bool autocommit = m_transaction == 0 && (text.starts_with("WRITE ") || asked.prepared.starts_with("WRITE "));
    if (autocommit) {
        judge(asked, out, {asked.id});
    }
    out.reply.rows = {asked.id};
    co_return out;
}

void caller::judge(const request& asked, const outcome& got, const std::vector<std::string>& writes) {
    if (!got.answered) {
        return;
    }
    if (got.reply.ok()) {
        m_promises.commit_acknowledged(asked, writes);
    } else if (promises_nothing_kept(got.reply.why())) {
        m_promises.promised_not_run(writes);
    }
}

asio::awaitable<void> caller::run(const bool& stop) {
    while (!stop) {
        co_await session(stop);
        co_await sleep_for(std::chrono::milliseconds{20 + below(60)});
    }
}

asio::awaitable<void> caller::session(const bool& stop) {
    const auto at = m_next();
    if (!at) {
        co_return;
    }
    const auto& on = m_databases[below(m_databases.size())];
    const bool connected = co_await connect(*at, on);
    if (!connected) {
        co_return;
    }
    bool going = co_await set_up();
    const auto operations = 1 + below(60);
    for (std::uint64_t i = 0; going && !stop && i < operations; ++i) {
        going = co_await operation();
        co_await sleep_for(std::chrono::milliseconds{below(longest_pause_ms)});
    }
    if (going) {
        m_lines->write("TERMINATE\r\n");
    }
    m_lines.reset();
}

/// Values and prepared statements of the session's own; names collide with
/// those of other sessions.
asio::awaitable<bool> caller::set_up() {
    for (std::uint64_t i = below(3); i > 0; --i) {
        const auto name = "v" + std::to_string(below(3));
        const auto value = std::to_string(below(4));
        const auto got = co_await ask("SET " + name + " " + value);
        if (!got.answered || !got.reply.ok()) {
            co_return false;
        }
        m_values[name] = value;
    }
    for (std::uint64_t i = below(3); i > 0; --i) {
        const auto name = "s" + std::to_string(i);
        const auto shape = std::string{below(2) == 0 ? "READ" : "WRITE"} + " shape" + std::to_string(below(6));
        const auto got = co_await ask("PREPARE " + name + " " + shape);
        if (!got.answered || !got.reply.ok()) {
            co_return false;
        }
        m_prepared[name] = shape;
    }
    co_return true;
}

std::string caller::statement(bool write, std::string& prepared) {
    for (const auto& [name, shape] : m_prepared) {
        if (shape.starts_with(write ? "WRITE" : "READ") && below(2) == 0) {
            prepared = shape;
            return "EXECUTE " + name + " item" + std::to_string(below(40)) + (write ? " data" : "");
        }
    }
    return (write ? "WRITE item" : "READ item") + std::to_string(below(40)) + (write ? " data" : "");
}

asio::awaitable<bool> caller::operation() {
    if (below(4) == 0) {
        co_return co_await transaction();
    }
    co_return co_await single();
}

asio::awaitable<bool> caller::single() {
    std::string prepared;
    auto text = statement(below(4) == 0, prepared);
    const auto got = co_await ask(std::move(text), prepared);
    if (got.answered && got.reply.state != sql::transaction_state::idle) {
        m_promises.broken("states", got.reply.rows.front() + " outside a transaction ended in another state");
    }
    co_return got.answered;
}

asio::awaitable<bool> caller::transaction() {
    const bool reads_only = below(3) == 0;
    m_begun = boot_clock::now();
    const auto begun = co_await ask(reads_only ? "BEGIN READ" : "BEGIN");
    if (!begun.answered || !begun.reply.ok()) {
        co_return begun.answered;
    }
    m_transaction = next_number();
    std::vector<std::string> writes;
    for (std::uint64_t left = 1 + below(5); left > 0; --left) {
        std::string prepared;
        const bool write = !reads_only && below(3) == 0;
        auto text = statement(write, prepared);
        const auto got = co_await ask(std::move(text), prepared);
        if (write) {
            writes.push_back(got.reply.rows.empty() ? got.reply.signature : got.reply.rows.front());
        }
        if (!got.answered) {
            co_return false;
        }
        if (!got.reply.ok()) {
            break;
        }
        if (below(60) == 0) {
            // The caller leaves in the middle.
            m_transaction = 0;
            co_return false;
        }
        co_await sleep_for(std::chrono::milliseconds{below(longest_pause_ms)});
    }
    co_return co_await end_transaction(writes);
}

asio::awaitable<bool> caller::end_transaction(const std::vector<std::string>& writes) {
    const bool commits = below(5) != 0;
    const auto got = co_await ask(commits ? "COMMIT" : "ROLLBACK");
    m_transaction = 0;
    if (!got.answered) {
        co_return false;
    }
    if (commits) {
        const auto* asked = m_promises.find(got.reply.rows.front());
        judge(*asked, got, writes);
    } else {
        m_promises.promised_not_run(writes);
    }
    co_return got.reply.state == sql::transaction_state::idle;
}

asio::awaitable<bool> caller::check(tcp::endpoint at, const database& on) {
    const bool connected = co_await connect(at, on);
    if (!connected) {
        co_return false;
    }
    const auto wrote = co_await ask("WRITE item1 data");
    if (!wrote.answered || !wrote.reply.ok()) {
        co_return false;
    }
    const auto read = co_await ask("READ item1");
    co_return read.answered&& read.reply.ok();
}

} // namespace cornellever::soak
