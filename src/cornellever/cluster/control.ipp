#pragma once

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
result<void> control<Store, Orders, Connector>::start() {
    boost::system::error_code ec;
    m_socket.open(asio::ip::udp::v4(), ec);
    m_socket.bind(m_settings.heartbeats, ec);
    m_socket.non_blocking(true, ec);
    if (ec) {
        return fail(errc::unavailable, "cannot bind the heartbeat address: " + ec.message());
    }
    m_rpc.on("snapshot",
             [this](const Json::Value& params, rpc::connection& to) -> asio::awaitable<result<Json::Value>> {
                 co_return snapshot_for({.config = rpc::uint_field(params, "config_version"),
                                         .registry = rpc::uint_field(params, "registry_version")},
                                        to);
             });
    m_rpc.on("dump", [this](const Json::Value&, rpc::connection&) { return dump(); });
    if (auto bound = m_rpc.listen(m_settings.peers); !bound) {
        return std::unexpected{bound.error()};
    }
    m_rpc.start();
    publish_proxies();
    asio::co_spawn(m_executor, receive(), asio::detached);
    asio::co_spawn(m_executor, tick(), asio::detached);
    asio::co_spawn(m_executor, register_self(), asio::detached);
    return {};
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<result<Json::Value>> control<Store, Orders, Connector>::dump() {
    const auto now = boot_clock::now();
    Json::Value out = co_await m_bridge.describe(m_dump_traffic);
    out["role"] = "serve";
    out["name"] = m_settings.name;
    out["incarnation"] = static_cast<Json::UInt64>(m_settings.incarnation);
    out["store_reachable"] = m_store_reachable();
    out["leaving"] = m_leaving;
    out["promotions"] = static_cast<Json::UInt64>(m_counts.promoted.load());
    out["promotions_given_up"] = static_cast<Json::UInt64>(m_counts.given_up.load());
    out["handovers"] = static_cast<Json::UInt64>(m_counts.handed_over.load());
    out["handovers_given_up"] = static_cast<Json::UInt64>(m_counts.handovers_given_up.load());
    for (const auto& [name, item] : m_members.peers()) {
        auto& peer = out["peers"][name];
        peer["alive"] = membership::is_alive(item, now);
        peer["heard_ms"] = static_cast<Json::Int64>(to_ms(now - item.last_message_at));
        peer["store_reachable"] = item.store_reachable;
        peer["config_version"] = static_cast<Json::UInt64>(item.config_version);
    }
    for (const auto& [service, state] : m_services) {
        out["watched"][service]["primary"] = state.primary;
        out["watched"][service]["verdict"] = std::string{to_string(state.verdict)};
        out["watched"][service]["replacing"] = state.replacing;
    }
    co_return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::apply_stored(routing::configuration config) {
    if (config.version < m_config.version) {
        log_event(event::stored_config_older,
                  "version=" + std::to_string(m_config.version) + " stored=" + std::to_string(config.version));
    }
    m_freshness.at(index_of(cached_table::configuration)).note_store_version(config.version);
    apply(std::move(config));
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::apply(routing::configuration config) {
    if (config.version <= m_config.version) {
        return;
    }
    m_behind_since = {};
    m_config = config;
    m_ownership.clear();
    m_bridge.update(std::move(config));
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::apply(const routing::registry& registered) {
    m_behind_since = {};
    if (registered.version < m_registry.effective().version) {
        return;
    }
    if (m_registry.effective().version != 0 && registered.servers == m_registry.registered().servers) {
        m_registry.renumber(registered.version);
        return;
    }
    m_registry.apply(registered, boot_clock::now());
    log_event(event::registry_loaded, "version=" + std::to_string(registered.version) +
                                          " servers=" + std::to_string(registered.servers.size()));
    publish_registry();
}

/// Passes the servers in use to the traffic thread, which has to compute the same connection owners
/// as this thread.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::publish_registry() {
    (void)m_ownership.update_slots(m_registry.effective());
    m_bridge.update(m_registry.effective(), m_freshness.at(index_of(cached_table::servers)).confirmed_current_at());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::prepare_to_leave() {
    m_leaving = true;
    const auto removed = co_await m_store.remove(std::string{proxies_table}, m_settings.name);
    if (!removed) {
        // The shutdown continues: the other proxies also remove a proxy that leaves their questions
        // unanswered.
        log_event(event::store_lost, "table=proxies reason=\"" + removed.error().message + "\"");
    }
}

/// Logs one line for all names: when many proxies start together, each proxy would otherwise log a
/// line for every other proxy.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::log_members(event what, const std::vector<std::string>& names,
                                                    std::string_view suffix) {
    constexpr std::size_t max_names = 8;
    if (names.empty()) {
        return;
    }
    std::string text = "proxies=" + std::to_string(names.size()) + " names=";
    for (std::size_t i = 0; i < std::min(names.size(), max_names); ++i) {
        text += (i == 0 ? "" : ",") + names[i];
    }
    log_event(what, text + std::string{suffix});
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::tick() {
    for (;;) {
        co_await sleep_for(tick_period);
        const auto latest = co_await m_bridge.observations();
        for (const auto& item : latest) {
            m_services[item.service].handover.observe(item.primary, boot_clock::now());
            m_observations.insert_or_assign(item.service, item);
        }
        m_relayed_under_load = co_await m_bridge.services_relayed_under_load();
        const auto now = boot_clock::now();
        if (m_registry.expire(now)) {
            publish_registry();
        }
        log_members(event::member_lost, m_members.remove_unresponsive(now), " reason=silent");
        log_members(event::member_joined, std::exchange(m_joined, {}), "");
        publish_proxies();
        const bool heartbeat_early = any_primary_suspect() || confirmation_overdue(now);
        if (now - m_last_heartbeat >= (heartbeat_early ? suspect_heartbeat_period : heartbeat_period)) {
            send_heartbeats();
        }
        if (!m_leaving) {
            check_primaries();
        }
    }
}

} // namespace cornellever::cluster
