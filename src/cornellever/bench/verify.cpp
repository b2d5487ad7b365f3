#include "cornellever/bench/verify.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace cornellever::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr auto call_deadline = std::chrono::milliseconds{8000};
constexpr auto check_timeout = std::chrono::seconds{15};
constexpr auto retry_interval = std::chrono::milliseconds{50};
constexpr std::size_t rows_per_transaction = 3;

constexpr auto create_table = "CREATE TABLE IF NOT EXISTS bench_ledger (tag TEXT NOT NULL, part INTEGER NOT NULL)";
constexpr auto create_index = "CREATE INDEX IF NOT EXISTS bench_ledger_tag ON bench_ledger (tag)";
constexpr auto insert_row = "INSERT INTO bench_ledger (tag, part) VALUES (?, ?)";
constexpr auto count_own = "SELECT count(*) FROM bench_ledger WHERE tag = ?";
constexpr auto count_all = "SELECT tag, count(*) FROM bench_ledger GROUP BY tag";

/// The final outcome of a write according to the responses.
enum class reported_outcome { done, not_run, unknown };

/// The reported outcome of the write under a tag, and the number of rows that the
/// write inserts.
struct tag_outcome {
    reported_outcome reported{reported_outcome::unknown};
    std::size_t rows{1};
};

reported_outcome outcome_of(const result<Json::Value>& answer) {
    if (answer) {
        return reported_outcome::done;
    }
    return guarantees_not_executed(answer.error().code) ? reported_outcome::not_run : reported_outcome::unknown;
}

/// The shared state of one run, whose callers (client applications) all run on
/// one thread.
class workload {
public:
    workload(asio::io_context& io, const verify_plan& plan) : m_io{io}, m_plan{plan}, m_deadline{clock::now()} {}

    asio::awaitable<void> run() {
        if (auto ready = co_await create_ledger(); !ready) {
            m_report.check_failure = "the ledger table could not be created: " + ready.error().message;
            co_return;
        }
        m_deadline = clock::now() + m_plan.duration;
        m_last_ack = clock::now();
        m_active_callers = m_plan.callers;
        for (std::size_t index = 0; index < m_plan.callers; ++index) {
            asio::co_spawn(m_io, run_caller(index), asio::detached);
        }
        while (m_active_callers > 0) {
            co_await sleep_for(retry_interval);
        }
        record_final_gap();
        co_await check();
    }

    verify_report& report() { return m_report; }

private:
    asio::awaitable<result<void>> create_ledger() {
        for (const auto* sql : {create_table, create_index}) {
            auto created = co_await retry_until_answered(statement(sql));
            if (!created) {
                co_return std::unexpected{created.error()};
            }
        }
        co_return result<void>{};
    }

    /// Retries an idempotent statement until it succeeds or `check_timeout` has
    /// passed.
    asio::awaitable<result<Json::Value>> retry_until_answered(Json::Value params) {
        caller_session session{m_io.get_executor(), m_plan.proxies, m_plan.target};
        const auto retry_deadline = clock::now() + check_timeout;
        for (std::size_t attempt = 0;; ++attempt) {
            auto answer = co_await session.call(attempt % session.proxies(), "execute", params, call_deadline);
            if (answer || clock::now() > retry_deadline) {
                co_return answer;
            }
            co_await sleep_for(retry_interval);
        }
    }

    asio::awaitable<void> run_caller(std::size_t index) {
        std::mt19937_64 random{m_plan.seed * 1000 + index};
        caller_session session{m_io.get_executor(), m_plan.proxies, m_plan.target};
        for (std::size_t number = 0; clock::now() < m_deadline; ++number) {
            const auto tag =
                "s" + std::to_string(m_plan.seed) + "-" + std::to_string(index) + "-" + std::to_string(number);
            tag_outcome outcome;
            switch (random() % 3) {
            case 0:
                outcome.reported = co_await write_with_request_id(session, tag, random);
                break;
            case 1:
                outcome.reported = co_await write_without_request_id(session, tag, random);
                break;
            default:
                outcome = co_await transaction(session, tag, random);
                break;
            }
            record_outcome(tag, outcome);
            if (outcome.reported == reported_outcome::done && outcome.rows > 0) {
                co_await read_back(session, tag, outcome.rows, random);
            }
        }
        --m_active_callers;
    }

    void record_outcome(const std::string& tag, const tag_outcome& outcome) {
        m_outcomes_by_tag[tag] = outcome;
        m_report.done += outcome.reported == reported_outcome::done ? 1 : 0;
        m_report.not_run += outcome.reported == reported_outcome::not_run ? 1 : 0;
        m_report.unknown += outcome.reported == reported_outcome::unknown ? 1 : 0;
        if (outcome.reported == reported_outcome::done && outcome.rows > 0) {
            const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_last_ack);
            m_report.longest_gap = std::max(m_report.longest_gap, gap);
            m_last_ack = clock::now();
        }
    }

    /// Includes the time from the last acknowledged write to the end of the run
    /// in the longest gap.
    void record_final_gap() {
        const auto tail = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_last_ack);
        m_report.longest_gap = std::max(m_report.longest_gap, tail);
    }

    static Json::Value insert(const std::string& tag, std::size_t part) {
        return statement(insert_row, tag, std::to_string(part));
    }

    asio::awaitable<reported_outcome> write_without_request_id(caller_session& session, const std::string& tag,
                                                               std::mt19937_64& random) {
        const auto started = clock::now();
        auto answer = co_await session.call(random() % session.proxies(), "execute", insert(tag, 0), call_deadline);
        m_report.write_latency.record(clock::now() - started);
        co_return outcome_of(answer);
    }

    asio::awaitable<reported_outcome> write_with_request_id(caller_session& session, const std::string& tag,
                                                            std::mt19937_64& random) {
        const auto started = clock::now();
        bool in_doubt = false;
        for (;;) {
            auto params = insert(tag, 0);
            params["request_id"] = tag;
            auto answer = co_await session.call(random() % session.proxies(), "execute", params, call_deadline);
            const auto latest = outcome_of(answer);
            // After an attempt with an unknown outcome, a later "not run" does
            // not prove that the earlier attempt had no effect.
            in_doubt = in_doubt || latest == reported_outcome::unknown;
            if (latest == reported_outcome::done || clock::now() - started > m_plan.retry_timeout) {
                m_report.write_latency.record(clock::now() - started);
                co_return latest == reported_outcome::not_run&& in_doubt ? reported_outcome::unknown : latest;
            }
            co_await sleep_for(retry_interval);
        }
    }

    asio::awaitable<tag_outcome> transaction(caller_session& session, const std::string& tag, std::mt19937_64& random) {
        const auto proxy = random() % session.proxies();
        const auto ending = random() % 10;
        auto begun = co_await session.call(proxy, "begin", Json::Value{Json::objectValue}, call_deadline);
        if (!begun) {
            co_return tag_outcome{reported_outcome::not_run, rows_per_transaction};
        }
        const auto id = (*begun)["transaction"].asString();
        for (std::size_t part = 0; part < rows_per_transaction; ++part) {
            auto params = insert(tag, part);
            params["transaction"] = id;
            auto answer = co_await session.call(proxy, "execute", params, call_deadline);
            if (!answer) {
                session.drop_connection(proxy);
                co_return tag_outcome{reported_outcome::not_run, rows_per_transaction};
            }
        }
        Json::Value finish;
        finish["transaction"] = id;
        if (ending == 0) {
            session.drop_connection(proxy);
            co_return tag_outcome{reported_outcome::not_run, rows_per_transaction};
        }
        if (ending == 1) {
            (void)co_await session.call(proxy, "rollback", finish, call_deadline);
            co_return tag_outcome{reported_outcome::not_run, rows_per_transaction};
        }
        auto committed = co_await session.call(proxy, "commit", finish, call_deadline);
        co_return tag_outcome{outcome_of(committed), rows_per_transaction};
    }

    asio::awaitable<void> read_back(caller_session& session, const std::string& tag, std::size_t rows,
                                    std::mt19937_64& random) {
        auto params = statement(count_own, tag);
        params["mode"] = "read";
        const auto started = clock::now();
        auto answer = co_await session.call(random() % session.proxies(), "execute", params, call_deadline);
        ++m_report.reads;
        if (!answer) {
            m_report.read_errors.push_back(std::string{to_string(answer.error().code)} + ": " + answer.error().message);
            co_return;
        }
        m_report.read_latency.record(clock::now() - started);
        m_report.replica_reads += (*answer)["served_by"]["role"] == "replica" ? 1 : 0;
        if ((*answer)["rows"][0][0].asUInt64() != rows) {
            m_report.missing_own_writes.push_back(tag + " by " + (*answer)["served_by"]["instance"].asString());
        }
    }

    asio::awaitable<void> check() {
        auto counted = co_await retry_until_answered(statement(count_all));
        if (!counted) {
            m_report.check_failure = "the ledger could not be counted: " + counted.error().message;
            co_return;
        }
        std::map<std::string, std::size_t> found;
        for (const auto& row : (*counted)["rows"]) {
            found[row[0].asString()] = static_cast<std::size_t>(row[1].asUInt64());
        }
        for (const auto& [tag, outcome] : m_outcomes_by_tag) {
            compare(tag, outcome, found[tag]);
        }
    }

    void compare(const std::string& tag, const tag_outcome& outcome, std::size_t found) {
        const auto finding = tag + ": " + std::to_string(found) + " of " + std::to_string(outcome.rows) + " rows";
        if (outcome.reported == reported_outcome::done && found != outcome.rows) {
            m_report.not_exactly_once.push_back(finding);
        } else if (outcome.reported == reported_outcome::not_run && found != 0) {
            m_report.unexpectedly_applied.push_back(finding);
        } else if (found != 0 && found != outcome.rows) {
            m_report.partially_applied.push_back(finding);
        }
    }

    asio::io_context& m_io;
    const verify_plan& m_plan;
    verify_report m_report;
    std::map<std::string, tag_outcome> m_outcomes_by_tag;
    clock::time_point m_deadline;
    clock::time_point m_last_ack;
    std::size_t m_active_callers{0};
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
