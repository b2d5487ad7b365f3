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
    // Logged once per outage: the platform may be down for hours.
    if (!m_failing) {
        log_event(event::config_fetch_failed,
                  "reason=\"" + failure.message + "\" version_in_force=" + std::to_string(m_version));
    }
    m_failing = true;
}

asio::awaitable<result<Json::Value>> config_follower::fetch_newer_row() {
    // A large customer's configuration takes tens of kilobytes, so each poll reads the version only and fetches the
    // row when the version has risen.
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
    // A VM that is replaced during a platform outage starts without a configuration. The configuration of another
    // proxy has been accepted before, and it is applied only if its version is newer, so fetching it cannot revert
    // anything.
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
    // A delayed answer or an outdated peer may return a lower version; the configuration in force never reverts.
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
