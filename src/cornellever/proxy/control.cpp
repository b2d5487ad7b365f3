#include "cornellever/proxy/control.hpp"

#include <set>

#include "cornellever/core/log.hpp"
#include "cornellever/rpc/fields.hpp"
#include "cornellever/rpc/reconnecting_channel.hpp"

namespace cornellever::proxy {

namespace {

heartbeat heartbeat_from(const std::string& key, const result<Json::Value>& status,
                         std::chrono::steady_clock::time_point asked_at) {
    heartbeat out;
    out.key = key;
    out.asked_at = asked_at;
    if (!status) {
        out.refused = status.error().code == errc::unavailable;
        return out;
    }
    out.answered = true;
    out.primary = rpc::text_field(*status, "role") == "primary";
    out.term = rpc::uint_field(*status, "term");
    out.position = rpc::uint_field(*status, "position");
    out.position_term = rpc::uint_field(*status, "position_term");
    out.staleness_ms = static_cast<std::int64_t>(rpc::uint_field(*status, "staleness_ms"));
    out.primary_contact_age_ms = static_cast<std::int64_t>(rpc::uint_field(*status, "heard_ms"));
    return out;
}

} // namespace

control::control(asio::any_io_executor control_executor, asio::any_io_executor traffic, router& traffic_router,
                 const settings& own_settings, const state_chart& failover_steps, control_limits limits)
    : m_control_executor{std::move(control_executor)}
    , m_traffic_executor{std::move(traffic)}
    , m_router{traffic_router}
    , m_platform{own_settings.platform}
    , m_limits{limits}
    , m_follower{m_control_executor,
                 m_platform,
                 own_settings.peers,
                 {},
                 [this](config::cluster newer) { apply_config(std::move(newer)); }}
    , m_primary_monitor{m_control_executor,
                        m_topology,
                        m_platform,
                        own_settings.peers,
                        own_settings.name,
                        failover_steps,
                        {},
                        [this](const heartbeat& report) { record_heartbeat(report); }} {}

void control::start() {
    asio::co_spawn(m_control_executor, m_follower.run(), asio::detached);
    asio::co_spawn(m_control_executor, poll_vm_list(), asio::detached);
    asio::co_spawn(m_control_executor, m_primary_monitor.run(m_config), asio::detached);
}

void control::apply_config(config::cluster config) {
    m_config = std::move(config);
    m_topology.reset(m_config);
    ++m_generation;
    for (const auto& [key, view] : m_topology.instances()) {
        auto& slot = m_probes[key];
        if (slot.second == 0 || slot.first != view.address) {
            slot = {view.address, m_generation};
            asio::co_spawn(m_control_executor, probe(key, view.address, m_generation), asio::detached);
        }
    }
    std::erase_if(m_probes, [&](const auto& item) { return !m_topology.instances().contains(item.first); });
    log_event(event::config_loaded, "version=" + std::to_string(m_config.version) +
                                        " instances=" + std::to_string(m_topology.instances().size()));
    asio::post(m_traffic_executor, [&target = m_router, next = m_config]() mutable { target.update(std::move(next)); });
}

asio::awaitable<void> control::poll_vm_list() {
    rpc::reconnecting_channel channel{m_control_executor, m_platform};
    for (;;) {
        auto list = co_await channel.call("vms.list", Json::Value{Json::objectValue}, m_limits.call_deadline);
        if (list) {
            apply_vm_list(*list);
        }
        co_await sleep_for(m_limits.vm_list_poll);
    }
}

void control::apply_vm_list(const Json::Value& list) {
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
    asio::post(m_traffic_executor,
               [&target = m_router, leaving = std::move(leaving), proxies] { target.set_vms(leaving, proxies); });
}

void control::record_heartbeat(const heartbeat& report) {
    const auto* view = m_topology.find(report.key);
    const bool log_was_lost = view != nullptr && view->log_lost;
    m_topology.record(report, std::chrono::steady_clock::now());
    if (view != nullptr && view->log_lost && !log_was_lost) {
        log_event(event::primary_lost, "instance=" + report.key +
                                           " reason=log_lost term=" + std::to_string(report.term) +
                                           " position=" + std::to_string(report.position));
    }
    asio::post(m_traffic_executor, [&target = m_router, report] { target.record(report); });
}

asio::awaitable<void> control::probe(std::string key, tcp::endpoint address, std::uint64_t generation) {
    rpc::reconnecting_channel channel{m_control_executor, address};
    bool was_up = false;
    for (;;) {
        const auto found = m_probes.find(key);
        if (found == m_probes.end() || found->second.second != generation) {
            co_return;
        }
        const auto asked_at = std::chrono::steady_clock::now();
        auto status = co_await channel.call("status", Json::Value{Json::objectValue}, m_limits.heartbeat_deadline);
        if (status.has_value() != was_up) {
            log_event(status ? event::instance_up : event::instance_down, "instance=" + key);
            was_up = status.has_value();
        }
        record_heartbeat(heartbeat_from(key, status, asked_at));
        co_await sleep_for(heartbeat_pause(key));
    }
}

std::chrono::milliseconds control::heartbeat_pause(std::string_view key) const {
    // While a database's primary is overdue, send heartbeats to the database's instances more often: another proxy may
    // perform the failover, and then this proxy learns of the new primary only from a heartbeat.
    const auto* self = m_topology.find(key);
    if (self == nullptr) {
        return m_limits.heartbeat_interval;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto* primary = m_topology.primary(self->service, self->database, now);
    const bool primary_overdue =
        primary == nullptr || now - primary->last_heartbeat_at > m_limits.primary_overdue_after;
    return primary_overdue ? m_limits.overdue_heartbeat_interval : m_limits.heartbeat_interval;
}

} // namespace cornellever::proxy
