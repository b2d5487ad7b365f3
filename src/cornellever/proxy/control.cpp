#include "cornellever/proxy/control.hpp"

#include "cornellever/config/json.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::proxy {

namespace {

asio::awaitable<void> sleep_for(std::chrono::milliseconds duration) {
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

heartbeat beat_from(const std::string& key, const result<Json::Value>& status) {
    heartbeat out;
    out.key = key;
    if (!status) {
        return out;
    }
    out.answered = true;
    out.primary = (*status)["role"] == "primary";
    out.term = (*status)["term"].asUInt64();
    out.position = (*status)["position"].asUInt64();
    out.staleness_ms = (*status)["staleness_ms"].asInt64();
    return out;
}

} // namespace

control::control(asio::any_io_executor own, asio::any_io_executor traffic, router& traffic_router,
                 tcp::endpoint platform, control_limits limits)
    : m_own{std::move(own)}
    , m_traffic{std::move(traffic)}
    , m_router{traffic_router}
    , m_platform{std::move(platform)}
    , m_limits{limits} {}

void control::start() {
    asio::co_spawn(m_own, follow_config(), asio::detached);
}

asio::awaitable<void> control::follow_config() {
    auto link = std::make_unique<rpc::channel>(m_own, m_platform);
    for (;;) {
        Json::Value params;
        params["key"] = std::string{config_row};
        auto row = co_await link->call("table.get", params, m_limits.call_deadline);
        if (!link->usable()) {
            link = std::make_unique<rpc::channel>(m_own, m_platform);
        }
        if (!row) {
            // The platform down or slow: the last good configuration stays in force.
            if (!m_platform_failing) {
                log_event(event::config_fetch_failed,
                          "reason=\"" + row.error().message + "\" version_in_force=" + std::to_string(m_version));
            }
            m_platform_failing = true;
        } else {
            m_platform_failing = false;
            const auto version = (*row)["version"].asUInt64();
            if (version > m_version) {
                auto parsed = config::from_json((*row)["value"]);
                if (parsed) {
                    parsed->version = version;
                    take(std::move(*parsed));
                } else {
                    log_event(event::config_refused,
                              "version=" + std::to_string(version) + " reason=\"" + parsed.error().message + "\"");
                }
            }
        }
        co_await sleep_for(m_limits.config_poll);
    }
}

void control::take(config::cluster config) {
    m_version = config.version;
    ++m_generation;
    std::size_t instances = 0;
    for (const auto& svc : config.services) {
        for (const auto& db : svc.databases) {
            for (const auto& inst : db.instances) {
                tcp::endpoint address;
                (void)parse_endpoint(inst.address, address);
                const auto key = database_key(svc.name, db.name) + "/" + inst.name;
                auto& slot = m_probes[key];
                const bool fresh = slot.second == 0 || slot.first != address;
                slot = {address, fresh ? m_generation : slot.second};
                if (fresh) {
                    asio::co_spawn(m_own, probe(key, address, m_generation), asio::detached);
                }
                ++instances;
            }
        }
    }
    std::erase_if(m_probes, [&](const auto& item) {
        const auto& [key, slot] = item;
        return config::find_service(config, key.substr(0, key.find('/'))) == nullptr;
    });
    log_event(event::config_loaded, "version=" + std::to_string(m_version) + " instances=" + std::to_string(instances));
    asio::post(m_traffic, [&target = m_router, next = std::move(config)]() mutable { target.update(std::move(next)); });
}

asio::awaitable<void> control::probe(std::string key, tcp::endpoint address, std::uint64_t generation) {
    auto link = std::make_unique<rpc::channel>(m_own, address);
    bool was_up = false;
    for (;;) {
        const auto found = m_probes.find(key);
        if (found == m_probes.end() || found->second.second != generation) {
            co_return;
        }
        auto status = co_await link->call("status", Json::Value{Json::objectValue}, m_limits.call_deadline);
        if (!link->usable()) {
            link = std::make_unique<rpc::channel>(m_own, address);
        }
        if (status.has_value() != was_up) {
            log_event(status ? event::instance_up : event::instance_down, "instance=" + key);
            was_up = status.has_value();
        }
        asio::post(m_traffic, [&target = m_router, beat = beat_from(key, status)] { target.record(beat); });
        co_await sleep_for(m_limits.heartbeat);
    }
}

} // namespace cornellever::proxy
