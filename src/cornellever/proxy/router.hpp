#pragma once

#include <chrono>
#include <set>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/metrics/latency.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/read_path.hpp"
#include "cornellever/proxy/transaction_table.hpp"
#include "cornellever/proxy/write_path.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::proxy {

/// The data plane of a proxy: decodes the requests of callers (connected client applications), checks them against the
/// current configuration and passes them to the read path, the write path or the transaction table. Used from the
/// traffic thread only.
class router {
public:
    using clock = std::chrono::steady_clock;

    router(asio::any_io_executor executor, std::string name, std::string zone, connection_limits limits = {});

    /// Registers the RPC methods `execute`, `begin`, `commit`, `rollback`, `ready`, `config.current`, `primary.heard`
    /// and `dump`.
    void bind(rpc::server& rpc);

    /// Applies a newer configuration; an older or equal version is ignored.
    void update(config::cluster config);

    /// Applies a heartbeat result from the control thread.
    void record(const heartbeat& report) { m_backends.record(report); }

    /// Applies the list of VMs that the control thread polled from the platform, the external service that keeps
    /// the configuration and this list; see `backend_connections::set_machines`.
    void set_vms(const std::set<std::string, std::less<>>& leaving, std::size_t proxies) {
        m_backends.set_vms(leaving, proxies);
    }

    /// Makes the proxy refuse new transactions from now on, with an error that tells the caller that nothing ran.
    void drain() { m_draining = true; }

    /// Rolls back transactions that have been idle for longer than their service allows.
    void sweep_abandoned() { m_transactions.sweep(); }

    /// Returns the number of open transactions, for a graceful shutdown.
    [[nodiscard]] std::size_t open_transactions() const noexcept { return m_transactions.open(); }

    /// Returns the proxy's state for `dump`.
    [[nodiscard]] Json::Value describe() const;

private:
    answer execute(const Json::Value& in, rpc::connection& caller);
    answer begin(const Json::Value& in, rpc::connection& caller);
    answer finish(const Json::Value& in, rpc::connection& caller, bool commit);
    answer ready();
    answer current_config();
    answer primary_reachable(const Json::Value& in);
    answer dispatch(const config::service& service, const execute_request& request, clock::time_point until);
    /// Looks up the service that a request names and checks that the request is allowed. Returns a copy because a newer
    /// configuration may replace the service while the request runs.
    [[nodiscard]] result<config::service> admit(const std::string& service, const std::string& database,
                                                const std::string& kind, const std::string& request_id) const;

    std::string m_name;
    std::string m_zone;
    config::cluster m_config;
    backend_connections m_backends;
    read_path m_reads;
    write_path m_writes;
    transaction_table m_transactions;
    bool m_draining{false};
    metrics::latency m_write_latency;
    metrics::latency m_read_latency;
};

} // namespace cornellever::proxy
