#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/backend_group.hpp"
#include "cornellever/proxy/backoff.hpp"
#include "cornellever/proxy/failover.hpp"
#include "cornellever/proxy/platform_store.hpp"
#include "cornellever/proxy/suspicion.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// Periods and deadlines of keeping primaries.
struct keeper_limits {
    std::chrono::milliseconds judge_every{50};
    std::chrono::milliseconds call_deadline{400};
    /// How long a primary that a replica hears must not answer this proxy
    /// before the other proxies are asked about it.
    std::chrono::milliseconds unreachable_for{1000};
};

/// Sees to it that every database has a primary: judges each from what
/// heartbeats say and replaces one that is lost, leaving, or out of reach of
/// all proxies.
class primary_keeper {
public:
    using clock = std::chrono::steady_clock;

    /// Reads `known`; `on_promoted` is called with a heartbeat of each new
    /// primary, before its own next one arrives. `peers` are other proxies.
    primary_keeper(const asio::any_io_executor& executor, const topology& known, const tcp::endpoint& platform,
                   std::vector<tcp::endpoint> peers, std::string name, const state_chart& failover_steps,
                   keeper_limits limits, std::function<void(const heartbeat&)> on_promoted);

    /// Judges the databases of `config` for ever; `config` may change between
    /// judgements.
    asio::awaitable<void> run(const config::cluster& config);

private:
    void watch(const std::string& service, const std::string& database, clock::time_point now);
    asio::awaitable<void> replace_unreachable(std::string service, std::string database);
    asio::awaitable<std::vector<peer_word>> ask_about_primary(const std::string& service, const std::string& database);
    asio::awaitable<void> replace(std::string service, std::string database, bool planned);
    asio::awaitable<void> finish(const std::string& database, const failover_outcome& outcome);

    asio::any_io_executor m_executor;
    const topology& m_known;
    std::vector<tcp::endpoint> m_peers;
    keeper_limits m_limits;
    platform_store m_store;
    backend_group m_group;
    failover<platform_store, backend_group> m_failover;
    std::function<void(const heartbeat&)> m_on_promoted;
    /// Databases whose primary is being replaced, and the pause after a try
    /// that did not replace it, during which they stay listed.
    std::set<std::string> m_replacing;
    std::map<std::string, backoff> m_retries;
    /// Since when a database's primary is unreachable from here.
    std::map<std::string, clock::time_point> m_unreachable;
};

} // namespace cornellever::proxy
