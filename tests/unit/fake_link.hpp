#pragma once

#include <algorithm>
#include <chrono>
#include <expected>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornellever/routing/backend_link.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/session/caller.hpp"
#include "cornellever/session/session_state.hpp"

namespace cornellever::test {

/// A statement as received by a fake server.
struct received_statement {
    int connection{0};
    /// The number of the batch on its connection. The statements of one batch are
    /// sent without waiting for answers in between.
    int batch{0};
    std::string id;
    sql::statement_kind kind{sql::statement_kind::begin};
    std::string text;
    bool in_transaction{false};
    /// The account that the connection was opened for.
    std::string account{};
    std::map<std::string, std::string, std::less<>> values;
};

/// An in-memory backend server with fault injection.
struct fake_server {
    bool is_primary{false};
    sql::log_position position{1, 10};
    /// Opening a connection fails this way.
    std::optional<routing::connect_failure> connect_fails{};
    /// The next connection to send a statement breaks, once.
    bool reset_connections{false};
    /// How long each exchange takes.
    std::chrono::milliseconds answer_after{0};
    /// Statements run but are not answered.
    bool silent{false};
    /// How long the proxy waits for a lost answer at most.
    std::chrono::milliseconds silent_for{20};
    /// So many of callers' next statements run, but their answers are lost.
    int lose_answers{0};
    /// So many of callers' next statements are refused.
    int refuse{0};
    sql::refusal refuse_with{sql::refusal::overloaded};
    std::vector<received_statement> received_statements{};
    int connections{0};
    /// Open connections, and their maximum since a test last reset it.
    int open{0};
    int max_open{0};

    [[nodiscard]] std::vector<received_statement> of(const std::string& id) const {
        std::vector<received_statement> out;
        std::ranges::copy_if(received_statements, std::back_inserter(out),
                             [&](const auto& item) { return item.id == id; });
        return out;
    }
    [[nodiscard]] std::size_t count(sql::statement_kind kind) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(received_statements, [&](const auto& item) { return item.kind == kind; }));
    }
};

/// A connection to a fake server (models routing::backend_link).
class fake_link {
public:
    explicit fake_link(fake_server& server, std::string account = {})
        : m_server{server}
        , m_number{++server.connections}
        , m_account{std::move(account)} {
        m_server.max_open = std::max(m_server.max_open, ++m_server.open);
    }
    fake_link(const fake_link&) = delete;
    fake_link& operator=(const fake_link&) = delete;
    ~fake_link() { close(); }

    asio::awaitable<routing::link_reply> exchange(const std::vector<sql::command>& batch, std::size_t reply_index,
                                                  boot_clock::time_point until) {
        if (!post(batch)) {
            co_return std::unexpected{routing::link_failure::not_sent};
        }
        if (m_server.answer_after.count() > 0) {
            co_await sleep_for(m_server.answer_after);
        }
        std::optional<sql::statement_error> setup_error;
        for (std::size_t i = 0; i <= reply_index; ++i) {
            if (m_pending.empty() || m_server.silent || m_lost) {
                co_await sleep_for(std::chrono::milliseconds{
                    std::min<long long>(to_ms(until - boot_clock::now()), m_server.silent_for.count())});
                close();
                co_return std::unexpected{routing::link_failure::silent};
            }
            m_last = m_pending.front();
            m_pending.erase(m_pending.begin());
            if (i < reply_index && !m_last.ok() && !setup_error) {
                setup_error = m_last.error;
            }
        }
        if (setup_error) {
            m_last.setup_error = std::move(setup_error);
            close();
        }
        co_return m_last;
    }

    bool post(const std::vector<sql::command>& batch) {
        if (m_server.reset_connections) {
            m_server.reset_connections = false;
            close();
        }
        if (!m_usable) {
            return false;
        }
        ++m_batch;
        for (const auto& item : batch) {
            run(item);
        }
        return true;
    }

    asio::awaitable<routing::link_reply> await_pending(boot_clock::time_point) {
        if (m_server.silent || m_lost) {
            close();
            co_return std::unexpected{routing::link_failure::silent};
        }
        auto last = m_pending.empty() ? sql::reply{} : m_pending.back();
        m_pending.clear();
        co_return last;
    }

    [[nodiscard]] bool usable() const { return m_usable; }
    void close() { m_server.open -= std::exchange(m_usable, false) ? 1 : 0; }

private:
    void run(const sql::command& what) {
        m_server.received_statements.push_back({m_number, m_batch, what.request_id, what.what.kind, what.what.text,
                                                m_state == sql::transaction_state::open, m_account, m_values});
        m_pending.push_back(answer(what));
        if (!what.request_id.empty() && m_server.lose_answers > 0) {
            --m_server.lose_answers;
            m_lost = true;
        }
    }

    sql::reply refuse(sql::refusal why) {
        sql::reply out;
        out.error = sql::statement_error{why, "fake"};
        if (m_state != sql::transaction_state::idle) {
            m_state = sql::transaction_state::failed;
        }
        out.state = m_state;
        out.position = m_server.position;
        return out;
    }

    sql::reply answer(const sql::command& what) {
        using sql::statement_kind;
        const auto kind = what.what.kind;
        if (!what.request_id.empty() && m_server.refuse > 0) {
            --m_server.refuse;
            return refuse(m_server.refuse_with);
        }
        if (what.after && m_server.position < *what.after) {
            return refuse(sql::refusal::behind);
        }
        const bool lost_leadership = m_read_write && !m_server.is_primary;
        if (kind == statement_kind::rollback) {
            m_state = sql::transaction_state::idle;
            m_read_write = false;
        } else if (m_state == sql::transaction_state::failed) {
            return refuse(sql::refusal::malformed);
        } else if (kind == statement_kind::begin) {
            if (!m_server.is_primary) {
                return refuse(sql::refusal::not_primary);
            }
            m_state = sql::transaction_state::open;
            m_read_write = true;
        } else if (kind == statement_kind::begin_read_only) {
            m_state = sql::transaction_state::open;
        } else if (lost_leadership && kind != statement_kind::commit) {
            return refuse(sql::refusal::not_primary);
        } else if (kind == statement_kind::set) {
            m_values.insert_or_assign(what.what.name, what.what.text);
        } else if (kind == statement_kind::reset) {
            m_values.clear();
        } else if (lost_leadership || (kind == statement_kind::write && !m_server.is_primary)) {
            return refuse(sql::refusal::not_primary);
        } else if (kind == statement_kind::commit) {
            m_state = sql::transaction_state::idle;
            m_read_write = false;
            ++m_server.position.number;
        } else if (kind == statement_kind::write && m_state == sql::transaction_state::idle) {
            ++m_server.position.number;
        }
        sql::reply out;
        out.state = m_state;
        out.position = m_server.position;
        if (!what.request_id.empty()) {
            out.signature = "sig-" + what.request_id;
        }
        if (kind == statement_kind::step_down) {
            m_server.is_primary = false;
        }
        if (kind == statement_kind::status || kind == statement_kind::step_down) {
            out.rows.push_back(m_server.is_primary ? "primary" : "replica");
        }
        if (kind == statement_kind::read) {
            out.rows.push_back("row-" + what.what.text);
        }
        return out;
    }

    fake_server& m_server;
    int m_number;
    std::string m_account;
    int m_batch{0};
    std::vector<sql::reply> m_pending;
    sql::reply m_last;
    sql::transaction_state m_state{sql::transaction_state::idle};
    std::map<std::string, std::string, std::less<>> m_values;
    bool m_read_write{false};
    bool m_usable{true};
    bool m_lost{false};
};

/// A connection owner that sessions are relayed to.
struct fake_owner {
    std::vector<std::string> asked{};
    /// It fails after this many answers.
    int answers{1000};
    /// It refuses statements that are forwarded without waiting for an answer.
    bool refuses_forwarded{false};
    /// The last commit that each session was opened with.
    std::vector<std::optional<sql::log_position>> opened_after{};
    /// The log position in its answers.
    std::optional<sql::log_position> position{};
};

/// A session at a fake owner (models session::relayed_session).
class fake_relay {
public:
    static constexpr std::size_t max_pending = 64;

    explicit fake_relay(fake_owner& owner) : m_owner{owner} {}

    asio::awaitable<routing::link_reply> run_request(const sql::request& request, boot_clock::time_point) {
        for (; m_pending > 0; --m_pending) {
            if (m_owner.answers-- <= 0 || m_owner.refuses_forwarded) {
                m_open = false;
                co_return std::unexpected{routing::link_failure::not_sent};
            }
        }
        m_owner.asked.push_back(request.id);
        if (m_owner.answers-- <= 0) {
            m_open = false;
            co_return std::unexpected{routing::link_failure::broken};
        }
        sql::reply out;
        out.signature = "owner-" + request.id;
        out.position = m_owner.position;
        out.state = request.what.kind == sql::statement_kind::commit ? sql::transaction_state::idle : m_state;
        m_state = out.state;
        co_return out;
    }
    bool pipeline(const sql::request& request) {
        if (m_pending >= max_pending) {
            return false;
        }
        m_owner.asked.push_back(request.id);
        m_state = request.what.kind == sql::statement_kind::begin ? sql::transaction_state::open : m_state;
        ++m_pending;
        return m_open;
    }
    [[nodiscard]] bool open() const { return m_open; }
    void close() { m_open = false; }

private:
    fake_owner& m_owner;
    std::size_t m_pending{0};
    sql::transaction_state m_state{sql::transaction_state::idle};
    bool m_open{true};
};

/// Opens connections to fake servers by id (models routing::link_connector).
struct fake_connector {
    using link = fake_link;
    using relay = fake_relay;

    /// Connection owners by port.
    std::map<unsigned short, fake_owner> owners;

    asio::awaitable<std::unique_ptr<fake_relay>> open_relay(tcp::endpoint owner, session::session_opening opening,
                                                            boot_clock::time_point) {
        const auto found = owners.find(owner.port());
        if (found == owners.end()) {
            co_return nullptr;
        }
        found->second.opened_after.push_back(opening.last_commit);
        co_return std::make_unique<fake_relay>(found->second);
    }

    std::map<std::string, fake_server> servers;

    asio::awaitable<std::expected<std::unique_ptr<fake_link>, routing::connect_failure>>
    open(const routing::backend_server& server, std::string account, boot_clock::time_point) {
        auto& found = servers[server.id];
        if (found.connect_fails) {
            co_return std::unexpected{*found.connect_fails};
        }
        co_return std::make_unique<fake_link>(found, std::move(account));
    }

    /// Requests for this item are too long to be sent with a position.
    static constexpr std::string_view long_item{"an item that leaves no room for a position"};

    static bool fits(const sql::request& request, const sql::log_position&) { return request.what.text != long_item; }

    static std::optional<sql::server_status> status_of(const sql::reply& from) {
        if (!from.ok() || from.rows.empty() || !from.position) {
            return std::nullopt;
        }
        return sql::server_status{from.rows.front() == "primary", from.position->term, *from.position};
    }
};

/// A registry of one service: the primary `p` and the replica `r1` in this data
/// centre, the replica `r2` in another one.
[[nodiscard]] inline routing::registry three_servers() {
    routing::registry out;
    out.version = 1;
    for (const auto* id : {"p", "r1", "r2"}) {
        routing::backend_server server;
        server.id = id;
        server.service = "stock";
        server.data_center = std::string{id} == "r2" ? "there" : "here";
        server.role = std::string{id} == "p" ? routing::server_role::primary : routing::server_role::replica;
        out.servers.emplace(id, server);
    }
    return out;
}

/// The databases `strict` (primary), `fresh` (bounded staleness) and `own` (read
/// your writes) of the service of `three_servers`.
[[nodiscard]] inline routing::configuration three_databases(std::uint64_t version = 1) {
    using namespace std::chrono_literals;
    routing::configuration out;
    out.version = version;
    const auto add = [&](const char* name, routing::consistency reads) {
        routing::database_route route;
        route.database = name;
        route.service = "stock";
        route.reads = reads;
        route.statement_timeout = 300ms;
        route.target_latency = 100ms;
        route.max_staleness = 1500ms;
        out.routes.emplace(name, route);
    };
    add("strict", routing::consistency::primary);
    add("fresh", routing::consistency::bounded_staleness);
    add("own", routing::consistency::read_your_writes);
    out.services.emplace("stock", routing::service_limits{"stock", 16, 0});
    out.transaction_idle = 150ms;
    return out;
}

} // namespace cornellever::test
