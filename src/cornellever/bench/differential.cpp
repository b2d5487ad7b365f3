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

/// Returns the part of a response that must be equal with and without a proxy:
/// the error code, or the columns, rows and number of changes.
std::string comparable_part(const result<Json::Value>& answer) {
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
        caller_session setup{m_executor, m_plan.proxies, m_plan.target};
        co_await execute_on_both(setup, statement(create_table));
        for (std::size_t index = 0; index < m_plan.sessions && m_report.failure.empty(); ++index) {
            co_await run_one_session("s" + std::to_string(m_plan.seed) + "-" + std::to_string(index));
        }
    }

    differential_report& report() { return m_report; }

private:
    asio::awaitable<void> run_one_session(std::string owner) {
        caller_session session{m_executor, m_plan.proxies, m_plan.target};
        for (std::size_t step = 0; step < m_plan.steps && m_report.failure.empty(); ++step) {
            const auto page = "p" + std::to_string(m_random() % 8);
            switch (m_random() % 10) {
            case 0:
                co_await execute_on_both(session, statement(insert_page, owner, page));
                break;
            case 1:
                co_await execute_on_both(session, statement(update_page, owner, page));
                break;
            case 2:
                co_await run_transaction_on_both(session, owner, page);
                break;
            default:
                co_await read_on_both(session, owner);
                break;
            }
        }
    }

    asio::awaitable<void> execute_on_both(caller_session& session, Json::Value params) {
        auto proxied_answer = co_await timed_call(session, m_random() % session.proxies(), "execute", params);
        auto direct_answer = co_await direct_call("execute", params);
        compare(params["sql"].asString(), proxied_answer, direct_answer);
    }

    asio::awaitable<void> read_on_both(caller_session& session, const std::string& owner) {
        auto params = statement(select_own, owner);
        auto direct_answer = co_await direct_call("execute", params);
        params["mode"] = "read";
        auto proxied_answer = co_await timed_call(session, m_random() % session.proxies(), "execute", params);
        ++m_report.reads;
        if (proxied_answer && (*proxied_answer)["served_by"]["role"] == "replica") {
            ++m_report.replica_reads;
        }
        compare("own pages of " + owner, proxied_answer, direct_answer);
    }

    asio::awaitable<void> run_transaction_on_both(caller_session& session, const std::string& owner,
                                                  const std::string& page) {
        const auto proxy = m_random() % session.proxies();
        const bool commits = m_random() % 3 != 0;
        auto begun = co_await session.call(proxy, "begin", Json::Value{Json::objectValue}, call_deadline);
        (void)co_await direct_call("begin", Json::Value{Json::objectValue});
        if (!begun) {
            m_report.failure = "begin: " + begun.error().message;
            co_return;
        }
        for (const auto* suffix : {"x", "y"}) {
            const auto text = page + suffix;
            auto params = statement(insert_page, owner, text);
            auto direct_answer = co_await direct_call("execute", params);
            params["transaction"] = (*begun)["transaction"];
            auto proxied_answer = co_await timed_call(session, proxy, "execute", params);
            compare("insert in transaction", proxied_answer, direct_answer);
        }
        Json::Value finish;
        finish["transaction"] = (*begun)["transaction"];
        const auto* method = commits ? "commit" : "rollback";
        auto proxied_answer = co_await session.call(proxy, method, finish, call_deadline);
        auto direct_answer = co_await direct_call(method, Json::Value{Json::objectValue});
        if (proxied_answer.has_value() != direct_answer.has_value()) {
            m_report.differences.push_back(std::string{method} + " of " + owner);
        }
    }

    asio::awaitable<result<Json::Value>> timed_call(caller_session& session, std::size_t proxy, std::string_view method,
                                                    Json::Value params) {
        const auto started = clock::now();
        auto answer = co_await session.call(proxy, method, std::move(params), call_deadline);
        m_report.proxied.record(clock::now() - started);
        co_return answer;
    }

    asio::awaitable<result<Json::Value>> direct_call(std::string_view method, Json::Value params) {
        const auto started = clock::now();
        auto answer = co_await m_naive.call(method, params, call_deadline);
        m_report.naive.record(clock::now() - started);
        co_return answer;
    }

    void compare(const std::string& what, const result<Json::Value>& proxied_answer,
                 const result<Json::Value>& direct_answer) {
        ++m_report.answers;
        if (comparable_part(proxied_answer) != comparable_part(direct_answer)) {
            m_report.differences.push_back(what + ": " + comparable_part(proxied_answer) + " against naive " +
                                           comparable_part(direct_answer));
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
