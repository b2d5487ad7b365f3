#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/metrics/latency.hpp"
#include "cornellever/proxy/pool.hpp"
#include "cornellever/proxy/request.hpp"
#include "cornellever/proxy/topology.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::proxy {

/// Deadlines and waits of the traffic path.
struct traffic_limits {
    std::chrono::milliseconds call_deadline{5000};
    std::chrono::milliseconds pool_wait{1000};
    std::chrono::milliseconds replica_pool_wait{20};
    std::chrono::milliseconds transaction_idle{30000};
};

/// The traffic side of a proxy: routes callers' statements to primaries and
/// replicas, pins transactions to one pooled connection, and keeps the
/// session token. Owned by, and used from, the traffic thread only.
class router {
public:
    router(asio::any_io_executor executor, std::string name, std::string zone, traffic_limits limits);

    /// Registers `execute`, `begin`, `commit`, `rollback` and `dump`.
    void bind(rpc::server& rpc);

    /// Takes a newer configuration; an older or equal version is ignored.
    void update(config::cluster config);

    /// Takes a heartbeat result from the control thread.
    void record(const heartbeat& beat);

    /// Rolls back transactions whose caller has been silent too long.
    void sweep_abandoned();

    /// Open transactions, for a planned stop.
    [[nodiscard]] std::size_t open_transactions() const noexcept { return m_transactions.size(); }

    /// The proxy's state for `dump`.
    [[nodiscard]] Json::Value describe() const;

private:
    using params = const Json::Value&;
    using answer = asio::awaitable<result<Json::Value>>;

    struct pinned {
        std::string database;
        std::string instance;
        pool::lease connection;
        std::chrono::steady_clock::time_point last_used;
        bool busy{false};
    };

    answer execute(params in, rpc::connection& conn);
    answer begin(params in, rpc::connection& conn);
    answer finish(params in, bool commit);
    answer in_transaction(const execute_request& request);
    answer read(const execute_request& request);
    answer on_primary(const execute_request& request);
    answer call(const instance_view& target, std::string_view method, const Json::Value& payload,
                std::chrono::milliseconds pool_wait);
    [[nodiscard]] result<const config::service*> service_of(std::string_view name) const;
    [[nodiscard]] pool& pool_of(const instance_view& target);
    [[nodiscard]] static Json::Value statement_payload(const execute_request& request);

    asio::any_io_executor m_executor;
    std::string m_name;
    std::string m_zone;
    traffic_limits m_limits;
    config::cluster m_config;
    topology m_topology;
    std::map<std::string, std::unique_ptr<pool>, std::less<>> m_pools;
    std::map<std::string, pinned, std::less<>> m_transactions;
    std::uint64_t m_next_transaction{1};
    std::uint64_t m_reads{0};
    std::uint64_t m_replica_reads{0};
    std::uint64_t m_fallbacks{0};
    metrics::latency m_write_latency;
    metrics::latency m_read_latency;
};

} // namespace cornellever::proxy
