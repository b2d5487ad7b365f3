#include "cornellever/proxy/control.hpp"

#include <random>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "cornellever/config/json.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

/// Pauses after a try to replace a primary that did not.
constexpr auto first_retry = std::chrono::milliseconds{200};
constexpr auto longest_retry = std::chrono::milliseconds{1600};

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

/// A call on a kept connection that is replaced once it is in doubt.
asio::awaitable<result<Json::Value>> call_over(std::unique_ptr<rpc::channel>& link, std::string_view method,
                                               const Json::Value& params, std::chrono::milliseconds deadline) {
    auto answer = co_await link->call(method, params, deadline);
    if (!link->usable()) {
        link = std::make_unique<rpc::channel>(co_await asio::this_coro::executor, link->peer());
    }
    co_return answer;
}

} // namespace

control::control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router,
                 tcp::endpoint platform, std::vector<tcp::endpoint> peers, std::string name,
                 const chart& failover_steps, control_limits limits)
    : m_own{std::move(own)}
    , m_traffic{std::move(traffic)}
    , m_router{traffic_router}
    , m_platform{std::move(platform)}
    , m_peers{std::move(peers)}
    , m_limits{limits}
    , m_store{m_own, m_platform, limits.call_deadline}
    , m_group{m_own}
    , m_failover{m_store, m_group, failover_steps, std::move(name), to_string(boost::uuids::random_generator{}())} {}

void control::start() {
    asio::co_spawn(m_own, follow_config(), asio::detached);
    asio::co_spawn(m_own, follow_machines(), asio::detached);
    asio::co_spawn(m_own, watch_primaries(), asio::detached);
}

asio::awaitable<void> control::follow_config() {
    auto link = std::make_unique<rpc::channel>(m_own, m_platform);
    Json::Value params;
    params["key"] = std::string{config_row};
    for (;;) {
        auto row = co_await call_over(link, "table.get", params, m_limits.call_deadline);
        if (row) {
            m_platform_failing = false;
            take(*row);
        } else {
            // The platform down or slow: the last good configuration stays in force.
            if (!m_platform_failing) {
                log_event(event::config_fetch_failed, "reason=\"" + row.error().message +
                                                          "\" version_in_force=" + std::to_string(m_config.version));
            }
            m_platform_failing = true;
            co_await ask_peer();
        }
        co_await sleep_for(m_limits.config_poll);
    }
}

asio::awaitable<void> control::ask_peer() {
    // A machine replaced during an outage of the platform starts with
    // nothing. What another proxy has in force was accepted once, and its
    // version decides whether it is newer, so taking it over cannot revert.
    if (m_peers.empty()) {
        co_return;
    }
    rpc::channel link{m_own, m_peers[m_next_peer++ % m_peers.size()]};
    auto row = co_await link.call("config.current", Json::Value{Json::objectValue}, m_limits.call_deadline);
    if (row) {
        take(*row);
    }
}

void control::take(const Json::Value& row) {
    const auto version = rpc::uint_field(row, "version");
    // A platform restored from an old snapshot, or an answer that was held
    // up, may show a lower version: a configuration in force never reverts.
    if (version <= m_config.version) {
        return;
    }
    auto parsed = config::from_json(row["value"]);
    if (!parsed) {
        log_event(event::config_refused,
                  "version=" + std::to_string(version) + " reason=\"" + parsed.error().message + "\"");
        return;
    }
    parsed->version = version;
    take(std::move(*parsed));
}

void control::take(config::cluster config) {
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
    auto link = std::make_unique<rpc::channel>(m_own, m_platform);
    for (;;) {
        auto list = co_await call_over(link, "vms.list", Json::Value{Json::objectValue}, m_limits.call_deadline);
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
    auto link = std::make_unique<rpc::channel>(m_own, address);
    bool was_up = false;
    for (;;) {
        const auto found = m_probes.find(key);
        if (found == m_probes.end() || found->second.second != generation) {
            co_return;
        }
        auto status = co_await call_over(link, "status", Json::Value{Json::objectValue}, m_limits.heartbeat_deadline);
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

asio::awaitable<void> control::watch_primaries() {
    for (;;) {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& svc : m_config.services) {
            for (const auto& db : svc.databases) {
                watch(svc.name, db.name, now);
            }
        }
        co_await sleep_for(m_limits.judge_every);
    }
}

void control::watch(const std::string& service, const std::string& database,
                    std::chrono::steady_clock::time_point now) {
    const auto key = database_key(service, database);
    const auto found = judge(m_topology.members(service, database), now);
    if (found != verdict::unreachable) {
        m_unreachable.erase(key);
    } else if (now - m_unreachable.try_emplace(key, now).first->second < m_limits.unreachable_for) {
        return;
    }
    if (found == verdict::keep || !m_replacing.insert(key).second) {
        return;
    }
    if (found == verdict::unreachable) {
        asio::co_spawn(m_own, replace_unreachable(service, database), asio::detached);
    } else {
        asio::co_spawn(m_own, replace_primary(service, database, found == verdict::leaving), asio::detached);
    }
}

asio::awaitable<std::vector<peer_word>> control::ask_about_primary(const std::string& service,
                                                                   const std::string& database) {
    Json::Value params;
    params["service"] = service;
    params["database"] = database;
    std::vector<peer_word> words;
    for (const auto& peer : m_peers) {
        rpc::channel link{m_own, peer};
        auto word = co_await link.call("primary.heard", params, m_limits.call_deadline);
        if (!word || !word->isObject()) {
            words.push_back(peer_word::no_answer);
        } else {
            words.push_back((*word)["heard"] == true ? peer_word::hears_it : peer_word::does_not);
        }
    }
    co_return words;
}

asio::awaitable<void> control::replace_unreachable(std::string service, std::string database) {
    // The partition may be between the primary and this proxy alone: then
    // others are served, and replacing it would end their transactions.
    const auto words = co_await ask_about_primary(service, database);
    if (peers_agree(words)) {
        co_await replace_primary(std::move(service), std::move(database), false);
        co_return;
    }
    co_await sleep_for(m_limits.unreachable_for);
    m_replacing.erase(database_key(service, database));
}

asio::awaitable<void> control::replace_primary(std::string service, std::string database, bool planned) {
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
    auto& retry = m_retries.try_emplace(key, first_retry, longest_retry, std::random_device{}()).first->second;
    if (outcome.promoted()) {
        retry.reset();
        log_event(event::failover_done, "database=" + key + " primary=" + outcome.primary +
                                            " term=" + std::to_string(outcome.term) + " record=" + outcome.event);
        heartbeat beat;
        beat.key = outcome.primary;
        beat.answered = true;
        beat.primary = true;
        beat.term = outcome.term;
        learn(beat);
    } else {
        log_event(event::failover_given_up,
                  "database=" + key + " term=" + std::to_string(outcome.term) + " reason=" + outcome.event);
        // With a data centre gone, every proxy tries for many databases: no
        // more than a few tries a second may reach the platform for each.
        co_await sleep_for(retry.next());
    }
    m_replacing.erase(key);
}

} // namespace cornellever::proxy
