#include "cornellever/proxy/primary_monitor.hpp"

#include <algorithm>
#include <random>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "cornellever/core/log.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

namespace {

/// First and longest pause after a failover attempt that did not promote an instance.
constexpr auto initial_retry_pause = std::chrono::milliseconds{200};
constexpr auto max_retry_pause = std::chrono::milliseconds{1600};

} // namespace

primary_monitor::primary_monitor(const asio::any_io_executor& executor, const topology& current_topology,
                                 const tcp::endpoint& platform, std::vector<tcp::endpoint> peers, std::string name,
                                 const state_chart& failover_steps, monitor_limits limits,
                                 std::function<void(const heartbeat&)> on_promoted)
    : m_executor{executor}
    , m_topology{current_topology}
    , m_peers{std::move(peers)}
    , m_limits{limits}
    , m_store{m_executor, platform, limits.call_deadline}
    , m_group{m_executor}
    , m_failover{m_store, m_group, failover_steps, std::move(name), to_string(boost::uuids::random_generator{}())}
    , m_on_promoted{std::move(on_promoted)} {}

asio::awaitable<void> primary_monitor::run(const config::cluster& config) {
    for (;;) {
        const auto now = clock::now();
        for (const auto& svc : config.services) {
            for (const auto& db : svc.databases) {
                check_primary(svc.name, db.name, now);
            }
        }
        co_await sleep_for(m_limits.check_interval);
    }
}

void primary_monitor::check_primary(const std::string& service, const std::string& database, clock::time_point now) {
    const auto key = database_key(service, database);
    const auto status = assess_primary(m_topology.members(service, database), now);
    if (status != primary_status::unreachable) {
        m_unreachable_since.erase(key);
    } else if (now - m_unreachable_since.try_emplace(key, now).first->second < m_limits.unreachable_timeout) {
        return;
    }
    if (status == primary_status::serving || !m_replacing.insert(key).second) {
        return;
    }
    if (status == primary_status::unreachable) {
        asio::co_spawn(m_executor, replace_if_peers_agree(service, database), asio::detached);
    } else {
        asio::co_spawn(m_executor, replace(service, database, status == primary_status::leaving), asio::detached);
    }
}

asio::awaitable<std::vector<primary_observation>> primary_monitor::query_peers(const std::string& service,
                                                                               const std::string& database) {
    Json::Value params;
    params["service"] = service;
    params["database"] = database;
    std::vector<primary_observation> observations;
    for (const auto& peer : m_peers) {
        rpc::channel channel{m_executor, peer};
        auto answer = co_await channel.call("primary.heard", params, m_limits.call_deadline);
        if (!answer || !answer->isObject()) {
            observations.push_back(primary_observation::no_answer);
        } else {
            observations.push_back((*answer)["heard"] == true ? primary_observation::reachable
                                                              : primary_observation::not_reachable);
        }
    }
    co_return observations;
}

asio::awaitable<void> primary_monitor::replace_if_peers_agree(std::string service, std::string database) {
    // A network partition may cut off only this proxy from the primary. Other proxies may still use the primary, and
    // replacing it would abort their transactions.
    const auto observations = co_await query_peers(service, database);
    if (peers_confirm_unreachable(observations)) {
        co_await replace(std::move(service), std::move(database), false);
        co_return;
    }
    co_await sleep_for(m_limits.unreachable_timeout);
    m_replacing.erase(database_key(service, database));
}

asio::awaitable<void> primary_monitor::replace(std::string service, std::string database, bool planned) {
    const auto key = database_key(service, database);
    std::vector<group_member> members;
    std::optional<group_member> old;
    std::uint64_t term = 0;
    for (const auto* item : m_topology.members(service, database)) {
        members.push_back(group_member{item->key, item->address, item->leaving_since || item->primary});
        term = std::max(term, item->term);
        if (planned && item->primary && item->leaving_since) {
            old = members.back();
        }
    }
    log_event(event::failover_started,
              "database=" + key + " known_term=" + std::to_string(term) + " planned=" + (planned ? "yes" : "no"));
    const auto outcome = co_await m_failover.run(key, std::move(members), old, term);
    co_await handle_outcome(key, outcome);
    m_replacing.erase(key);
}

asio::awaitable<void> primary_monitor::handle_outcome(const std::string& database, const failover_outcome& outcome) {
    auto& retry =
        m_backoffs.try_emplace(database, initial_retry_pause, max_retry_pause, std::random_device{}()).first->second;
    const auto fields = "database=" + database + " term=" + std::to_string(outcome.term);
    if (!outcome.promoted()) {
        log_event(event::failover_given_up, fields + " reason=" + outcome.event);
        // When a data centre fails, every proxy attempts failovers of many databases. The pause limits the load on the
        // platform, the external service that keeps the records of failovers, to a few attempts per second for each
        // database.
        co_await sleep_for(retry.next());
        co_return;
    }
    retry.reset();
    log_event(event::failover_done, fields + " primary=" + outcome.primary + " record=" + outcome.event);
    heartbeat report;
    report.key = outcome.primary;
    report.answered = true;
    report.primary = true;
    report.term = outcome.term;
    m_on_promoted(report);
}

} // namespace cornellever::proxy
