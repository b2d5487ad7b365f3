#include "cornellever/bench/verify.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace cornellever::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr auto call_deadline = std::chrono::milliseconds{8000};
constexpr auto check_patience = std::chrono::seconds{15};
constexpr auto retry_pause = std::chrono::milliseconds{50};
constexpr std::size_t rows_of_transaction = 3;

constexpr auto create_table = "CREATE TABLE IF NOT EXISTS bench_ledger (tag TEXT NOT NULL, part INTEGER NOT NULL)";
constexpr auto create_index = "CREATE INDEX IF NOT EXISTS bench_ledger_tag ON bench_ledger (tag)";
constexpr auto insert_row = "INSERT INTO bench_ledger (tag, part) VALUES (?, ?)";
constexpr auto count_own = "SELECT count(*) FROM bench_ledger WHERE tag = ?";
constexpr auto count_all = "SELECT tag, count(*) FROM bench_ledger GROUP BY tag";

/// What a caller was finally told about a tag.
enum class told { done, not_run, unknown };

struct tag_outcome {
    told answer{told::unknown};
    std::size_t rows{1};
};

told told_by(const result<Json::Value>& answer) {
    if (answer) {
        return told::done;
    }
    return guarantees_not_executed(answer.error().code) ? told::not_run : told::unknown;
}

/// One run's shared state; its callers all live on one thread.
class workload {
public:
    workload(asio::io_context& io, const verify_plan& plan) : m_io{io}, m_plan{plan}, m_until{clock::now()} {}

    asio::awaitable<void> run() {
        if (auto ready = co_await prepare(); !ready) {
            m_report.check_failure = "the ledger table could not be made: " + ready.error().message;
            co_return;
        }
        m_until = clock::now() + m_plan.duration;
        m_last_ack = clock::now();
        m_running = m_plan.callers;
        for (std::size_t index = 0; index < m_plan.callers; ++index) {
            asio::co_spawn(m_io, one_caller(index), asio::detached);
        }
        while (m_running > 0) {
            co_await sleep_for(retry_pause);
        }
        note_end();
        co_await check();
    }

    verify_report& report() { return m_report; }

private:
    asio::awaitable<result<void>> prepare() {
        for (const auto* sql : {create_table, create_index}) {
            auto made = co_await until_done(statement(sql));
            if (!made) {
                co_return std::unexpected{made.error()};
            }
        }
        co_return result<void>{};
    }

    /// A repeatable statement, asked again until it is answered.
    asio::awaitable<result<Json::Value>> until_done(Json::Value params) {
        caller me{m_io.get_executor(), m_plan.proxies, m_plan.target};
        const auto give_up = clock::now() + check_patience;
        for (std::size_t turn = 0;; ++turn) {
            auto answer = co_await me.call(turn % me.proxies(), "execute", params, call_deadline);
            if (answer || clock::now() > give_up) {
                co_return answer;
            }
            co_await sleep_for(retry_pause);
        }
    }

    asio::awaitable<void> one_caller(std::size_t index) {
        std::mt19937_64 random{m_plan.seed * 1000 + index};
        caller me{m_io.get_executor(), m_plan.proxies, m_plan.target};
        for (std::size_t number = 0; clock::now() < m_until; ++number) {
            const auto tag =
                "s" + std::to_string(m_plan.seed) + "-" + std::to_string(index) + "-" + std::to_string(number);
            tag_outcome outcome;
            switch (random() % 3) {
            case 0:
                outcome.answer = co_await write_once(me, tag, random);
                break;
            case 1:
                outcome.answer = co_await write_plain(me, tag, random);
                break;
            default:
                outcome = co_await transaction(me, tag, random);
                break;
            }
            note(tag, outcome);
            if (outcome.answer == told::done && outcome.rows > 0) {
                co_await read_back(me, tag, outcome.rows, random);
            }
        }
        --m_running;
    }

    void note(const std::string& tag, const tag_outcome& outcome) {
        m_outcomes[tag] = outcome;
        m_report.done += outcome.answer == told::done ? 1 : 0;
        m_report.not_run += outcome.answer == told::not_run ? 1 : 0;
        m_report.unknown += outcome.answer == told::unknown ? 1 : 0;
        if (outcome.answer == told::done && outcome.rows > 0) {
            const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_last_ack);
            m_report.longest_gap = std::max(m_report.longest_gap, gap);
            m_last_ack = clock::now();
        }
    }

    /// Counts the time from the last acknowledged write to the end of the run.
    void note_end() {
        const auto tail = std::chrono::duration_cast<std::chrono::milliseconds>(m_until - m_last_ack);
        m_report.longest_gap = std::max(m_report.longest_gap, tail);
    }

    static Json::Value insert(const std::string& tag, std::size_t part) {
        return statement(insert_row, tag, std::to_string(part));
    }

    asio::awaitable<told> write_plain(caller& me, const std::string& tag, std::mt19937_64& random) {
        const auto started = clock::now();
        auto answer = co_await me.call(random() % me.proxies(), "execute", insert(tag, 0), call_deadline);
        m_report.write_latency.record(clock::now() - started);
        co_return told_by(answer);
    }

    asio::awaitable<told> write_once(caller& me, const std::string& tag, std::mt19937_64& random) {
        const auto started = clock::now();
        bool in_doubt = false;
        for (;;) {
            auto params = insert(tag, 0);
            params["request_id"] = tag;
            auto answer = co_await me.call(random() % me.proxies(), "execute", params, call_deadline);
            const auto now_told = told_by(answer);
            in_doubt = in_doubt || now_told == told::unknown;
            if (now_told == told::done || clock::now() - started > m_plan.patience) {
                m_report.write_latency.record(clock::now() - started);
                co_return now_told == told::not_run&& in_doubt ? told::unknown : now_told;
            }
            co_await sleep_for(retry_pause);
        }
    }

    asio::awaitable<tag_outcome> transaction(caller& me, const std::string& tag, std::mt19937_64& random) {
        const auto proxy = random() % me.proxies();
        const auto ending = random() % 10;
        auto begun = co_await me.call(proxy, "begin", Json::Value{Json::objectValue}, call_deadline);
        if (!begun) {
            co_return tag_outcome{told::not_run, rows_of_transaction};
        }
        const auto id = (*begun)["transaction"].asString();
        for (std::size_t part = 0; part < rows_of_transaction; ++part) {
            auto params = insert(tag, part);
            params["transaction"] = id;
            auto answer = co_await me.call(proxy, "execute", params, call_deadline);
            if (!answer) {
                me.vanish(proxy);
                co_return tag_outcome{told::not_run, rows_of_transaction};
            }
        }
        Json::Value finish;
        finish["transaction"] = id;
        if (ending == 0) {
            me.vanish(proxy);
            co_return tag_outcome{told::not_run, rows_of_transaction};
        }
        if (ending == 1) {
            (void)co_await me.call(proxy, "rollback", finish, call_deadline);
            co_return tag_outcome{told::not_run, rows_of_transaction};
        }
        auto committed = co_await me.call(proxy, "commit", finish, call_deadline);
        co_return tag_outcome{told_by(committed), rows_of_transaction};
    }

    asio::awaitable<void> read_back(caller& me, const std::string& tag, std::size_t rows, std::mt19937_64& random) {
        auto params = statement(count_own, tag);
        params["mode"] = "read";
        const auto started = clock::now();
        auto answer = co_await me.call(random() % me.proxies(), "execute", params, call_deadline);
        ++m_report.reads;
        if (!answer) {
            m_report.read_errors.push_back(std::string{to_string(answer.error().code)} + ": " + answer.error().message);
            co_return;
        }
        m_report.read_latency.record(clock::now() - started);
        m_report.replica_reads += (*answer)["served_by"]["role"] == "replica" ? 1 : 0;
        if ((*answer)["rows"][0][0].asUInt64() != rows) {
            m_report.unseen.push_back(tag + " by " + (*answer)["served_by"]["instance"].asString());
        }
    }

    asio::awaitable<void> check() {
        auto counted = co_await until_done(statement(count_all));
        if (!counted) {
            m_report.check_failure = "the ledger could not be counted: " + counted.error().message;
            co_return;
        }
        std::map<std::string, std::size_t> found;
        for (const auto& row : (*counted)["rows"]) {
            found[row[0].asString()] = static_cast<std::size_t>(row[1].asUInt64());
        }
        for (const auto& [tag, outcome] : m_outcomes) {
            compare(tag, outcome, found[tag]);
        }
    }

    void compare(const std::string& tag, const tag_outcome& outcome, std::size_t found) {
        const auto finding = tag + ": " + std::to_string(found) + " of " + std::to_string(outcome.rows) + " rows";
        if (outcome.answer == told::done && found != outcome.rows) {
            m_report.lost_or_doubled.push_back(finding);
        } else if (outcome.answer == told::not_run && found != 0) {
            m_report.ran_after_all.push_back(finding);
        } else if (found != 0 && found != outcome.rows) {
            m_report.torn.push_back(finding);
        }
    }

    asio::io_context& m_io;
    const verify_plan& m_plan;
    verify_report m_report;
    std::map<std::string, tag_outcome> m_outcomes;
    clock::time_point m_until;
    clock::time_point m_last_ack;
    std::size_t m_running{0};
};

} // namespace

verify_report run_verify(const verify_plan& plan) {
    asio::io_context io;
    workload work{io, plan};
    asio::co_spawn(io, work.run(), asio::detached);
    io.run();
    return std::move(work.report());
}

} // namespace cornellever::bench
