#pragma once

// Keeping up with the tables of the metadata store, by few readers and peers.

namespace cornellever::cluster {

/// The proxies among which the work of waiting at the store is shared out, this
/// one where it takes part. One that was just read of in the table counts until
/// it could have been heard: after a start of all proxies each would take
/// itself for the only one. While the store answers nobody, all that are alive
/// share the work of asking again.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::vector<std::string> control<Store, Orders, Connector>::sharing_the_watch(time_point now) const {
    std::vector<std::string> able;
    std::vector<std::string> alive;
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_presumed_alive(item, now)) {
            continue;
        }
        alive.push_back(name);
        if (item.store_reachable) {
            able.push_back(name);
        }
    }
    return able.empty() ? alive : able;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
watch_pace control<Store, Orders, Connector>::pace(followed what) const {
    constexpr std::array<std::string_view, 2> names{"configuration", "servers"};
    const auto& plan = m_settings.watch.at(place(what));
    const auto& news = m_followed.at(place(what));
    const auto now = boot_clock::now();
    const auto others = sharing_the_watch(now);
    // Turned away by a store that answers others, it leaves the work to them.
    const bool relies = !m_listed || (!m_store_reachable() && !others.empty() &&
                                      std::ranges::any_of(others, [&](const std::string& name) {
                                          return m_members.peers().find(name)->second.store_reachable;
                                      }));
    watch_pace out{.waits = false, .span = plan.current_for};
    if (!relies) {
        out = pace_of(plan, watch_rank(names.at(place(what)), m_settings.name, others), m_members.counted());
    }
    out.current_at = news.current_at();
    out.behind = news.behind(version_of(what), now);
    return out;
}

/// Takes how current a peer's copies are. Only answers count: they were given
/// after the question, however long they were under way.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::hear_of_tables(const peer_message& message, time_point counted_from) {
    const auto hear = [&](followed what, std::uint64_t version, const std::optional<std::chrono::milliseconds>& age) {
        if (age) {
            m_followed.at(place(what)).hear(version, version_of(what), counted_from - *age, boot_clock::now());
        }
    };
    hear(followed::configuration, message.config_version, message.config_age);
    hear(followed::servers, message.registry_version, message.registry_age);
    tell_proof();
}

/// Whether the lease on the configuration is about to end, or has: requests with
/// a key are refused until somebody says that the copy is the newest.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::lacks_proof(time_point now) const {
    const auto at = m_followed.at(place(followed::configuration)).current_at();
    return m_settings.proof_due && at != time_point{} && now - at > *m_settings.proof_due;
}

/// Tells the traffic side how far it may rely on its configuration. It comes
/// behind the configuration itself, so that a proof never counts for an older
/// copy than the one it was given for.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::tell_proof() {
    const auto at = m_followed.at(place(followed::configuration)).current_at();
    if (at > m_proof_told) {
        m_proof_told = at;
        m_bridge.prove_configuration(at);
    }
}

/// Whether this proxy is one of the two of its data centre that fetch from
/// another one what is new. The others get it from these: a configuration of
/// many databases is 330 KB, and bytes between data centres are paid for.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::fetches_from_afar(time_point now) const {
    constexpr std::size_t fetching = 2;
    std::vector<std::string> near;
    for (const auto& [name, item] : m_members.peers()) {
        if (item.data_center == m_settings.data_center && membership::is_presumed_alive(item, now)) {
            near.push_back(name);
        }
    }
    return watch_rank(m_settings.data_center, m_settings.name, near) < fetching;
}

/// Notices when a peer has a newer configuration or registry. The feed of the
/// store brings both in a few milliseconds; where it does not, its connection
/// has gone silent or the store turns this proxy away, and the peer is asked.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::compare_versions(const peer_message& message,
                                                         const asio::ip::udp::endpoint& from, time_point now) {
    const bool behind =
        message.config_version > m_config.version || message.registry_version > m_registry.effective().version;
    if (!behind) {
        return;
    }
    if (m_behind_since == time_point{}) {
        m_behind_since = now;
    }
    const bool config_behind = message.config_version > m_config.version;
    auto lead = config_behind ? feed_lead : registry_lead;
    if (!m_store_reachable()) {
        lead = std::chrono::milliseconds{0};
    } else if (!pace(config_behind ? followed::configuration : followed::servers).waits) {
        const bool near = message.data_center == m_settings.data_center;
        lead = near || fetches_from_afar(now) ? std::chrono::milliseconds{0} : far_lead;
    }
    if (!m_catching_up && now >= m_catch_up_after && now - m_behind_since >= lead) {
        m_catching_up = true;
        asio::co_spawn(m_executor, catch_up(message.sender, from.address()), asio::detached);
    }
}

/// What a peer that is behind asked for. `busy` while as many as the link may
/// carry are on their way: another proxy has it soon, or has it by now.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
result<Json::Value> control<Store, Orders, Connector>::snapshot_for(known_versions known, rpc::connection& to) {
    if (m_config.version > known.config) {
        if (m_uploads >= most_uploads) {
            return fail(errc::busy, "other proxies are being sent the configuration");
        }
        to.release_after_write = std::make_shared<scoped_increment>(m_uploads);
        if (m_packed_config.version != m_config.version) {
            m_packed_config = pack(m_config);
        }
    }
    const auto& servers = m_registry.registered();
    if (servers.version > known.registry && m_packed_registry.version != servers.version) {
        m_packed_registry = pack(servers);
    }
    return snapshot_of(m_packed_config, m_packed_registry, known);
}

/// Takes configuration and servers from a peer that has newer ones: the store
/// does not answer this proxy, or its feed has not delivered them.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::catch_up(std::string from, asio::ip::address address) {
    rpc::channel link{m_executor, tcp::endpoint{address, m_settings.peers.port()}};
    Json::Value params{Json::objectValue};
    params["config_version"] = static_cast<Json::UInt64>(m_config.version);
    params["registry_version"] = static_cast<Json::UInt64>(m_registry.registered().version);
    auto answer = co_await link.call("snapshot", std::move(params), catch_up_limit, catch_up_limit);
    m_catching_up = false;
    if (!answer) {
        // The next message of any other that has it will do.
        std::uniform_int_distribution<long long> pause{catch_up_pause.count(), 2 * catch_up_pause.count()};
        m_catch_up_after = boot_clock::now() + std::chrono::milliseconds{pause(m_random)};
        log_event(event::config_fetch_failed, "peer=" + from + " version=" + std::to_string(m_config.version) +
                                                  " registry=" + std::to_string(m_registry.effective().version) +
                                                  " reason=\"" + answer.error().message + "\"");
        co_return;
    }
    m_behind_since = {};
    auto got = snapshot_from_json(*answer);
    if (!got) {
        log_event(event::config_refused, "peer=" + from + " reason=\"" + got.error().message + "\"");
        co_return;
    }
    // A version of 0 is a part that was not newer.
    log_event(event::config_loaded, "peer=" + from + " version=" + std::to_string(got->config.version) +
                                        " registry=" + std::to_string(got->servers.version));
    const bool newer_config = got->config.version > m_config.version;
    take(std::move(got->config));
    if (newer_config) {
        m_packed_config = std::move(got->packed_config);
    }
    if (got->servers.version != 0) {
        take(got->servers);
    }
}

} // namespace cornellever::cluster
