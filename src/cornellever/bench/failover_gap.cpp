#include "cornellever/bench/failover_gap.hpp"

namespace cornellever::bench {

namespace {

using clock = std::chrono::steady_clock;

constexpr auto call_deadline = std::chrono::milliseconds{2000};
constexpr auto naive_deadline = std::chrono::milliseconds{200};
constexpr auto write_retry_interval = std::chrono::milliseconds{5};
constexpr auto recovery_timeout = std::chrono::seconds{15};
constexpr auto recovery_poll_interval = std::chrono::milliseconds{100};

constexpr auto create_table = "CREATE TABLE IF NOT EXISTS bench_gap (at INTEGER NOT NULL)";
constexpr auto insert_row = "INSERT INTO bench_gap (at) VALUES (?)";

/// The primary that a round freezes: the key in the proxy's state dump and the
/// address.
struct frozen_primary {
    std::string key;
    tcp::endpoint address;
};

class failover_gap_run {
public:
    failover_gap_run(asio::any_io_executor executor, const failover_gap_plan& plan)
        : m_executor{std::move(executor)}
        , m_plan{plan}
        , m_session{m_executor, plan.proxies, plan.target} {}

    asio::awaitable<void> run() {
        if (!co_await write_acknowledged_within(create_table, recovery_timeout)) {
            m_report.failure = "no write was acknowledged before the first round";
            co_return;
        }
        for (int round = 0; round < m_plan.rounds && m_report.failure.empty(); ++round) {
            co_await run_round();
        }
        if (m_plan.naive) {
            co_await run_naive_round(*m_plan.naive);
        }
    }

    failover_gap_report& report() { return m_report; }

private:
    asio::awaitable<void> run_round() {
        const auto primary = co_await find_primary();
        if (primary.key.empty()) {
            m_report.failure = "no primary is known";
            co_return;
        }
        co_await set_frozen(primary.address, true);
        const auto started = clock::now();
        const bool acknowledged = co_await write_acknowledged_within(insert_row, max_gap);
        const auto gap = clock::now() - started;
        co_await set_frozen(primary.address, false);
        if (!acknowledged) {
            m_report.failure = "no write was acknowledged after " + primary.key + " froze";
            co_return;
        }
        m_report.gaps.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(gap));
        m_report.histogram.record(gap);
        co_await await_return_as_replica(primary);
    }

    /// Measures the write outage of a single server without a proxy (the naive
    /// version): freezes the server and retries a write until the server responds
    /// again.
    asio::awaitable<void> run_naive_round(tcp::endpoint naive) {
        rpc::channel setup{m_executor, naive};
        (void)co_await setup.call("execute", statement(create_table), call_deadline);
        co_await set_frozen(naive, true);
        const auto started = clock::now();
        asio::co_spawn(
            m_executor,
            [](failover_gap_run& self, tcp::endpoint instance_address) -> asio::awaitable<void> {
                co_await sleep_for(self.m_plan.naive_outage);
                co_await self.set_frozen(instance_address, false);
            }(*this, naive),
            asio::detached);
        auto params = statement(insert_row);
        params["params"].append(0);
        for (bool acknowledged = false; !acknowledged && clock::now() - started < max_gap;) {
            rpc::channel link{m_executor, naive};
            auto answer = co_await link.call("execute", params, naive_deadline);
            acknowledged = answer.has_value();
        }
        m_report.naive_gap = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started);
    }

    asio::awaitable<bool> write_acknowledged_within(const char* sql, clock::duration limit) {
        const auto until = clock::now() + limit;
        for (std::size_t attempt = 0; clock::now() < until; ++attempt) {
            auto params = statement(sql);
            if (sql == insert_row) {
                params["params"].append(Json::Int64{static_cast<Json::Int64>(attempt)});
            }
            auto answer = co_await m_session.call(attempt % m_session.proxies(), "execute", params, call_deadline);
            if (answer) {
                co_return true;
            }
            co_await sleep_for(write_retry_interval);
        }
        co_return false;
    }

    asio::awaitable<Json::Value> instances() {
        rpc::channel link{m_executor, m_plan.proxies.front()};
        auto dump = co_await link.call("dump", Json::Value{Json::objectValue}, call_deadline);
        co_return dump ? (*dump)["instances"] : Json::Value{Json::objectValue};
    }

    asio::awaitable<frozen_primary> find_primary() {
        const auto prefix = m_plan.target.service + "/" + m_plan.target.database + "/";
        const auto instances_by_key = co_await instances();
        for (const auto& key : instances_by_key.getMemberNames()) {
            const auto& item = instances_by_key[key];
            tcp::endpoint instance_address;
            if (key.starts_with(prefix) && item["role"] == "primary" && item["healthy"].asBool() &&
                parse_endpoint(item["address"].asString(), instance_address)) {
                co_return frozen_primary{key, instance_address};
            }
        }
        co_return frozen_primary{};
    }

    asio::awaitable<void> set_frozen(tcp::endpoint instance_address, bool frozen) {
        rpc::channel link{m_executor, instance_address};
        Json::Value params;
        params["frozen"] = frozen;
        (void)co_await link.call("fault.set", params, call_deadline);
    }

    asio::awaitable<void> await_return_as_replica(const frozen_primary& former_primary) {
        const auto until = clock::now() + recovery_timeout;
        while (clock::now() < until) {
            const auto instances_by_key = co_await instances();
            const auto& item = instances_by_key[former_primary.key];
            if (item["healthy"].asBool() && item["role"] == "replica" && item["staleness_ms"].asInt64() < 500) {
                co_return;
            }
            co_await sleep_for(recovery_poll_interval);
        }
        m_report.failure = former_primary.key + " did not rejoin as a replica";
    }

    asio::any_io_executor m_executor;
    const failover_gap_plan& m_plan;
    caller_session m_session;
    failover_gap_report m_report;
};

} // namespace

failover_gap_report measure_failover_gap(const failover_gap_plan& plan) {
    asio::io_context io;
    failover_gap_run work{io.get_executor(), plan};
    asio::co_spawn(io, work.run(), asio::detached);
    io.run();
    return std::move(work.report());
}

} // namespace cornellever::bench
