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

/// The traffic side of a proxy: decodes callers' requests, checks them
/// against the configuration in force and hands them to the read path, the
/// write path or the open transactions. Used from the traffic thread only.
class router {
public:
    using clock = std::chrono::steady_clock;

    router(asio::any_io_executor executor, std::string name, std::string zone, link_limits limits = {});

    /// Registers `execute`, `begin`, `commit`, `rollback`, `ready`,
    /// `config.current`, `primary.heard` and `dump`.
    void bind(rpc::server& rpc);

    /// Takes a newer configuration; an older or equal version is ignored.
    void update(config::cluster config);

    /// Takes a heartbeat result from the control thread.
    void record(const heartbeat& beat) { m_links.record(beat); }

    /// Takes the platform's list of machines from the control thread.
    void set_machines(const std::set<std::string, std::less<>>& leaving, std::size_t proxies) {
        m_links.set_machines(leaving, proxies);
    }

    /// From now on new transactions are refused as not run.
    void drain() { m_draining = true; }

    /// Rolls back transactions whose caller has been silent too long.
    void sweep_abandoned() { m_transactions.sweep(); }

    /// Open transactions, for a planned stop.
    [[nodiscard]] std::size_t open_transactions() const noexcept { return m_transactions.open(); }

    /// The proxy's state for `dump`.
    [[nodiscard]] Json::Value describe() const;

private:
    answer execute(const Json::Value& in, rpc::connection& caller);
    answer begin(const Json::Value& in, rpc::connection& caller);
    answer finish(const Json::Value& in, rpc::connection& caller, bool commit);
    answer ready();
    answer current_config();
    answer primary_heard(const Json::Value& in);
    answer dispatch(const config::service& service, const execute_request& request, clock::time_point until);
    /// The service a request names, when the request may go there. A copy: a
    /// newer configuration may replace it while the request runs.
    [[nodiscard]] result<config::service> admit(const std::string& service, const std::string& database,
                                                const std::string& kind, const std::string& request_id) const;

    std::string m_name;
    std::string m_zone;
    config::cluster m_config;
    backend_links m_links;
    read_path m_reads;
    write_path m_writes;
    transaction_table m_transactions;
    bool m_draining{false};
    metrics::latency m_write_latency;
    metrics::latency m_read_latency;
};

} // namespace cornellever::proxy
