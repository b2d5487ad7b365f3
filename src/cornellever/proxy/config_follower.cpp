#include "cornellever/proxy/config_follower.hpp"

#include "cornellever/config/json.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

config_follower::config_follower(asio::any_io_executor executor, tcp::endpoint platform,
                                 std::vector<tcp::endpoint> peers, follower_limits limits,
                                 std::function<void(config::cluster)> on_newer)
    : m_executor{std::move(executor)}
    , m_platform{m_executor, std::move(platform)}
    , m_peers{std::move(peers)}
    , m_limits{limits}
    , m_on_newer{std::move(on_newer)} {}

asio::awaitable<void> config_follower::run() {
    for (;;) {
        auto row = co_await fetch_newer_row();
        if (row) {
            m_failing = false;
            apply(*row);
        } else {
            log_failure(row.error());
            co_await fetch_from_peer();
        }
        co_await sleep_for(m_limits.poll);
    }
}

void config_follower::log_failure(const error& failure) {
    // Log one failure per outage only: the platform, the external service that keeps the configuration, may be
    // unreachable for hours.
    if (!m_failing) {
        log_event(event::config_fetch_failed,
                  "reason=\"" + failure.message + "\" version_in_force=" + std::to_string(m_version));
    }
    m_failing = true;
}

asio::awaitable<result<Json::Value>> config_follower::fetch_newer_row() {
    // The configuration of a large customer takes tens of kilobytes, so each poll lists the version only, and the row
    // is fetched when its version is higher than the version in use.
    Json::Value listed;
    listed["prefix"] = std::string{config_row};
    auto rows = co_await m_platform.call("table.list", listed, m_limits.call_deadline);
    if (!rows) {
        co_return rows;
    }
    const auto applied = rows->isArray() && !rows->empty() ? rpc::uint_field((*rows)[0], "version") : 0;
    if (applied <= m_version) {
        co_return Json::Value{};
    }
    Json::Value params;
    params["key"] = std::string{config_row};
    co_return co_await m_platform.call("table.get", params, m_limits.call_deadline);
}

asio::awaitable<void> config_follower::fetch_from_peer() {
    // A proxy that is started during an outage of the platform has no configuration and asks another proxy. This cannot
    // replace a configuration by an older one: the other proxy has already accepted its configuration, and `apply`
    // ignores any version that is not newer than the one in use.
    if (m_peers.empty()) {
        co_return;
    }
    rpc::channel channel{m_executor, m_peers[m_next_peer++ % m_peers.size()]};
    auto row = co_await channel.call("config.current", Json::Value{Json::objectValue}, m_limits.call_deadline);
    if (row) {
        apply(*row);
    }
}

void config_follower::apply(const Json::Value& row) {
    const auto version = rpc::uint_field(row, "version");
    // A delayed response, or another proxy with an outdated configuration, may return a lower version. Ignore it, so
    // that the version in use never decreases.
    if (version <= m_version) {
        return;
    }
    auto parsed = config::from_json(row["value"]);
    if (!parsed) {
        log_event(event::config_refused,
                  "version=" + std::to_string(version) + " reason=\"" + parsed.error().message + "\"");
        return;
    }
    m_version = version;
    parsed->version = version;
    m_on_newer(std::move(*parsed));
}

} // namespace cornellever::proxy
