#include "cornellever/proxy/control.hpp"

#include <set>

#include "cornellever/core/log.hpp"
#include "cornellever/rpc/fields.hpp"
#include "cornellever/rpc/reconnecting_channel.hpp"

namespace cornellever::proxy {

namespace {

heartbeat beat_from(const std::string& key, const result<Json::Value>& status) {
    heartbeat out;
    out.key = key;
    if (!status) {
        out.refused = status.error().code == errc::unavailable;
        return out;
    }
    out.answered = true;
    out.primary = rpc::text_field(*status, "role") == "primary";
    out.term = rpc::uint_field(*status, "term");
    out.position = rpc::uint_field(*status, "position");
    out.staleness_ms = static_cast<std::int64_t>(rpc::uint_field(*status, "staleness_ms"));
    out.heard_ms = static_cast<std::int64_t>(rpc::uint_field(*status, "heard_ms"));
    return out;
}

} // namespace

control::control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router,
                 const settings& own_settings, const state_chart& failover_steps, control_limits limits)
    : m_own{std::move(own)}
    , m_traffic{std::move(traffic)}
    , m_router{traffic_router}
    , m_platform{own_settings.platform}
    , m_limits{limits}
    , m_follower{m_own,
                 m_platform,
                 own_settings.peers,
                 {},
                 [this](config::cluster newer) { take_config(std::move(newer)); }}
    , m_keeper{m_own,
               m_topology,
               m_platform,
               own_settings.peers,
               own_settings.name,
               failover_steps,
               {},
               [this](const heartbeat& beat) { learn(beat); }} {}

void control::start() {
    asio::co_spawn(m_own, m_follower.run(), asio::detached);
    asio::co_spawn(m_own, follow_machines(), asio::detached);
    asio::co_spawn(m_own, m_keeper.run(m_config), asio::detached);
}

void control::take_config(config::cluster config) {
    m_config = std::move(config);
    m_topology.reset(m_config);
    ++m_generation;
    for (const auto& [key, view] : m_topology.instances()) {
        auto& slot = m_probes[key];
        if (slot.second == 0 || slot.first != view.address) {
            slot = {view.address, m_generation};
            asio::co_spawn(m_own, probe(key, view.address, m_generation), asio::detached);
        }
    }
    std::erase_if(m_probes, [&](const auto& item) { return !m_topology.instances().contains(item.first); });
    log_event(event::config_loaded, "version=" + std::to_string(m_config.version) +
                                        " instances=" + std::to_string(m_topology.instances().size()));
    asio::post(m_traffic, [&target = m_router, next = m_config]() mutable { target.update(std::move(next)); });
}

asio::awaitable<void> control::follow_machines() {
    rpc::reconnecting_channel link{m_own, m_platform};
    for (;;) {
        auto list = co_await link.call("vms.list", Json::Value{Json::objectValue}, m_limits.call_deadline);
        if (list) {
            take_machines(*list);
        }
        co_await sleep_for(m_limits.machines_poll);
    }
}

void control::take_machines(const Json::Value& list) {
    std::set<std::string, std::less<>> leaving;
    std::size_t proxies = 0;
    for (auto item = list.begin(); item != list.end(); ++item) {
        const auto state = rpc::text_field(*item, "state");
        if (state == "leaving") {
            leaving.insert(item.name());
        }
        proxies += rpc::text_field(*item, "kind") == "proxy" && state == "live" ? 1 : 0;
    }
    m_topology.set_leaving(leaving, std::chrono::steady_clock::now());
    asio::post(m_traffic,
               [&target = m_router, leaving = std::move(leaving), proxies] { target.set_machines(leaving, proxies); });
}

void control::learn(const heartbeat& beat) {
    m_topology.record(beat, std::chrono::steady_clock::now());
    asio::post(m_traffic, [&target = m_router, beat] { target.record(beat); });
}

asio::awaitable<void> control::probe(std::string key, tcp::endpoint address, std::uint64_t generation) {
    rpc::reconnecting_channel link{m_own, address};
    bool was_up = false;
    for (;;) {
        const auto found = m_probes.find(key);
        if (found == m_probes.end() || found->second.second != generation) {
            co_return;
        }
        auto status = co_await link.call("status", Json::Value{Json::objectValue}, m_limits.heartbeat_deadline);
        if (status.has_value() != was_up) {
            log_event(status ? event::instance_up : event::instance_down, "instance=" + key);
            was_up = status.has_value();
        }
        learn(beat_from(key, status));
        co_await sleep_for(heartbeat_pause(key));
    }
}

std::chrono::milliseconds control::heartbeat_pause(std::string_view key) const {
    // Once a database's primary is overdue, its members are asked more often:
    // this proxy may not be the one that replaces it, and hears of the new
    // primary only by its heartbeats.
    const auto* self = m_topology.find(key);
    if (self == nullptr) {
        return m_limits.heartbeat;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto* primary = m_topology.primary(self->service, self->database, now);
    const bool overdue = primary == nullptr || now - primary->last_heard > m_limits.overdue;
    return overdue ? m_limits.urgent_heartbeat : m_limits.heartbeat;
}

} // namespace cornellever::proxy
