#include "cornellever/bench/differential.hpp"

#include <random>

#include "cornellever/rpc/envelope.hpp"

namespace cornellever::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr auto call_deadline = std::chrono::milliseconds{8000};

constexpr auto create_table =
    "CREATE TABLE IF NOT EXISTS bench_pages (owner TEXT NOT NULL, page TEXT NOT NULL, UNIQUE (owner, page))";
constexpr auto insert_page = "INSERT INTO bench_pages (owner, page) VALUES (?, ?)";
constexpr auto update_page = "UPDATE bench_pages SET page = page || '+' WHERE owner = ? AND page = ?";
constexpr auto select_own = "SELECT page FROM bench_pages WHERE owner = ? ORDER BY page";

/// What an answer says, without what may rightly differ between the two.
std::string essence(const result<Json::Value>& answer) {
    if (!answer) {
        return "error " + std::string{to_string(answer.error().code)};
    }
    Json::Value kept;
    for (const auto* field : {"columns", "rows", "changes"}) {
        kept[field] = (*answer)[field];
    }
    return rpc::to_text(kept);
}

class differential_run {
public:
    differential_run(asio::any_io_executor executor, const differential_plan& plan)
        : m_executor{std::move(executor)}
        , m_plan{plan}
        , m_naive{m_executor, plan.naive}
        , m_random{plan.seed} {}

    asio::awaitable<void> run() {
        caller setup{m_executor, m_plan.proxies, m_plan.target};
        co_await both(setup, statement(create_table));
        for (std::size_t index = 0; index < m_plan.sessions && m_report.failure.empty(); ++index) {
            co_await one_session("s" + std::to_string(m_plan.seed) + "-" + std::to_string(index));
        }
    }

    differential_report& report() { return m_report; }

private:
    asio::awaitable<void> one_session(std::string owner) {
        caller me{m_executor, m_plan.proxies, m_plan.target};
        for (std::size_t step = 0; step < m_plan.steps && m_report.failure.empty(); ++step) {
            const auto page = "p" + std::to_string(m_random() % 8);
            switch (m_random() % 10) {
            case 0:
                co_await both(me, statement(insert_page, owner, page));
                break;
            case 1:
                co_await both(me, statement(update_page, owner, page));
                break;
            case 2:
                co_await both_transaction(me, owner, page);
                break;
            default:
                co_await both_read(me, owner);
                break;
            }
        }
    }

    asio::awaitable<void> both(caller& me, Json::Value params) {
        auto through = co_await timed_call(me, m_random() % me.proxies(), "execute", params);
        auto straight = co_await straight_call("execute", params);
        compare(params["sql"].asString(), through, straight);
    }

    asio::awaitable<void> both_read(caller& me, const std::string& owner) {
        auto params = statement(select_own, owner);
        auto straight = co_await straight_call("execute", params);
        params["mode"] = "read";
        auto through = co_await timed_call(me, m_random() % me.proxies(), "execute", params);
        ++m_report.reads;
        if (through && (*through)["served_by"]["role"] == "replica") {
            ++m_report.replica_reads;
        }
        compare("own pages of " + owner, through, straight);
    }

    asio::awaitable<void> both_transaction(caller& me, const std::string& owner, const std::string& page) {
        const auto proxy = m_random() % me.proxies();
        const bool commits = m_random() % 3 != 0;
        auto begun = co_await me.call(proxy, "begin", Json::Value{Json::objectValue}, call_deadline);
        (void)co_await straight_call("begin", Json::Value{Json::objectValue});
        if (!begun) {
            m_report.failure = "begin: " + begun.error().message;
            co_return;
        }
        for (const auto* suffix : {"x", "y"}) {
            const auto text = page + suffix;
            auto params = statement(insert_page, owner, text);
            auto straight = co_await straight_call("execute", params);
            params["transaction"] = (*begun)["transaction"];
            auto through = co_await timed_call(me, proxy, "execute", params);
            compare("insert in transaction", through, straight);
        }
        Json::Value finish;
        finish["transaction"] = (*begun)["transaction"];
        const auto* method = commits ? "commit" : "rollback";
        auto through = co_await me.call(proxy, method, finish, call_deadline);
        auto straight = co_await straight_call(method, Json::Value{Json::objectValue});
        if (through.has_value() != straight.has_value()) {
            m_report.differences.push_back(std::string{method} + " of " + owner);
        }
    }

    asio::awaitable<result<Json::Value>> timed_call(caller& me, std::size_t proxy, std::string_view method,
                                                    Json::Value params) {
        const auto started = clock::now();
        auto answer = co_await me.call(proxy, method, std::move(params), call_deadline);
        m_report.proxied.record(clock::now() - started);
        co_return answer;
    }

    asio::awaitable<result<Json::Value>> straight_call(std::string_view method, Json::Value params) {
        const auto started = clock::now();
        auto answer = co_await m_naive.call(method, params, call_deadline);
        m_report.naive.record(clock::now() - started);
        co_return answer;
    }

    void compare(const std::string& what, const result<Json::Value>& through, const result<Json::Value>& straight) {
        ++m_report.answers;
        if (essence(through) != essence(straight)) {
            m_report.differences.push_back(what + ": " + essence(through) + " against naive " + essence(straight));
        }
    }

    asio::any_io_executor m_executor;
    const differential_plan& m_plan;
    rpc::channel m_naive;
    std::mt19937_64 m_random;
    differential_report m_report;
};

} // namespace

differential_report run_differential(const differential_plan& plan) {
    asio::io_context io;
    differential_run work{io.get_executor(), plan};
    asio::co_spawn(io, work.run(), asio::detached);
    io.run();
    return std::move(work.report());
}

} // namespace cornellever::bench
