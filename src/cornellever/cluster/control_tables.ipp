#pragma once

// Keeping the copies of the store's tables current, through a few polling proxies and the peers.

namespace cornellever::cluster {

/// Returns the other proxies among which polling the store is divided. A proxy just read from the
/// proxies table is included until its first heartbeat is overdue; otherwise, when all proxies
/// start together, each would regard itself as the only one. If the store responds to none of the
/// others, all that are alive are returned and divide the retries.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::vector<std::string> control<Store, Orders, Connector>::watch_candidates(time_point now) const {
    std::vector<std::string> eligible;
    std::vector<std::string> alive;
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_presumed_alive(item, now)) {
            continue;
        }
        alive.push_back(name);
        if (item.store_reachable) {
            eligible.push_back(name);
        }
    }
    return eligible.empty() ? alive : eligible;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
watch_mode control<Store, Orders, Connector>::watch_mode_of(cached_table what) const {
    constexpr std::array<std::string_view, 2> names{"configuration", "servers"};
    const auto& policy = m_settings.watch.at(index_of(what));
    const auto& freshness = m_freshness.at(index_of(what));
    const auto now = boot_clock::now();
    const auto others = watch_candidates(now);
    // If the store refuses this proxy but responds to other proxies, only the others poll it.
    const bool relies_on_peers = !m_peers_loaded || (!m_store_reachable() && !others.empty() &&
                                                     std::ranges::any_of(others, [&](const std::string& name) {
                                                         return m_members.peers().find(name)->second.store_reachable;
                                                     }));
    const auto rank = watch_rank(names.at(index_of(what)), m_settings.name, others);
    watch_mode out{.polls_store = false, .confirm_within = policy.max_confirmation_age};
    if (!relies_on_peers) {
        out = watch_mode_for(policy, rank, m_members.proxy_count());
    }
    out.confirmed_current_at = freshness.confirmed_current_at();
    const auto first_readers = overdue_readers_per_poller * policy.max_readers;
    out.behind = rank < max_overdue_readers(first_readers, freshness.behind_for(version_of(what), now), behind_step);
    const auto unconfirmed_for =
        std::chrono::floor<std::chrono::milliseconds>(now - out.confirmed_current_at) - policy.max_confirmation_age;
    out.queries_if_unconfirmed =
        !freshness.hears_from_peers(now) ||
        rank < max_overdue_readers(first_readers, unconfirmed_for, policy.max_confirmation_age);
    return out;
}

/// Applies the ages of a peer's table copies from an answer to a heartbeat question. Answers are
/// used because they were written after the question was sent, however long they took to arrive, so
/// the time to which the ages refer is known.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::apply_table_ages(const peer_message& message, time_point ages_as_of) {
    const auto note_peer_version = [&](cached_table what, std::uint64_t version,
                                       const std::optional<std::chrono::milliseconds>& age) {
        if (age) {
            m_freshness.at(index_of(what))
                .note_peer_version(version, version_of(what), ages_as_of - *age, boot_clock::now());
        }
    };
    note_peer_version(cached_table::configuration, message.config_version, message.config_age);
    note_peer_version(cached_table::servers, message.registry_version, message.registry_age);
    publish_confirmation();
}

/// Returns whether the last confirmation of the configuration is older than `confirmation_due`: the
/// configuration lease, the time for which a confirmation is valid, has expired or is about to.
/// After it expires, requests with a key are refused until the configuration is confirmed as
/// current again.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::confirmation_overdue(time_point now) const {
    const auto at = m_freshness.at(index_of(cached_table::configuration)).confirmed_current_at();
    return m_settings.confirmation_due && at != time_point{} && now - at > *m_settings.confirmation_due;
}

/// Passes the time for which the configuration is confirmed as current to the traffic thread. The
/// configuration itself was passed before, so that a confirmation is never applied to an older
/// configuration than the one that was confirmed.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::publish_confirmation() {
    const auto at = m_freshness.at(index_of(cached_table::configuration)).confirmed_current_at();
    if (at > m_published_confirmation) {
        m_published_confirmation = at;
        m_bridge.confirm_configuration(at);
    }
}

/// Returns whether this proxy is one of the two in its data centre that fetch new versions from
/// another data centre. The other proxies get the versions from these two, because a configuration
/// of many databases is 330 KB and traffic between data centres costs money.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::fetches_across_data_centers(time_point now) const {
    constexpr std::size_t fetching = 2;
    std::vector<std::string> same_data_center;
    for (const auto& [name, item] : m_members.peers()) {
        if (item.data_center == m_settings.data_center && membership::is_presumed_alive(item, now)) {
            same_data_center.push_back(name);
        }
    }
    return watch_rank(m_settings.data_center, m_settings.name, same_data_center) < fetching;
}

/// Detects that a peer has a newer configuration or registry. The store's change feed normally
/// delivers both within a few milliseconds. If it has not delivered them, the connection to the
/// store has failed or the store refuses this proxy, and the snapshot is fetched from the peer
/// instead.
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
    auto head_start = config_behind ? feed_head_start : registry_head_start;
    if (!m_store_reachable()) {
        head_start = std::chrono::milliseconds{0};
    } else if (!watch_mode_of(config_behind ? cached_table::configuration : cached_table::servers).polls_store) {
        const bool same_data_center = message.data_center == m_settings.data_center;
        head_start = same_data_center || fetches_across_data_centers(now) ? std::chrono::milliseconds{0}
                                                                          : remote_fetch_head_start;
    }
    if (!m_catching_up && now >= m_catch_up_after && now - m_behind_since >= head_start) {
        m_catching_up = true;
        asio::co_spawn(m_executor, catch_up(message.sender, from.address()), asio::detached);
    }
}

/// Returns the reply to a peer's snapshot request. Error: `busy` if `max_uploads` transfers of the
/// configuration are in progress; the peer can get the snapshot from another proxy soon.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
result<Json::Value> control<Store, Orders, Connector>::snapshot_for(known_versions known, rpc::connection& to) {
    if (m_config.version > known.config) {
        if (m_uploads >= max_uploads) {
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

/// Fetches the configuration and the registry from a peer that has newer ones, because the store
/// does not respond to this proxy or its change feed has not delivered them.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::catch_up(std::string from, asio::ip::address address) {
    rpc::channel link{m_executor, tcp::endpoint{address, m_settings.peers.port()}};
    Json::Value params{Json::objectValue};
    params["config_version"] = static_cast<Json::UInt64>(m_config.version);
    params["registry_version"] = static_cast<Json::UInt64>(m_registry.registered().version);
    auto answer = co_await link.call("snapshot", std::move(params), catch_up_timeout, catch_up_timeout);
    m_catching_up = false;
    if (!answer) {
        // The fetch is retried when the next message arrives from any peer that has a newer
        // version.
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
    // Version 0 means that the peer left this part out because it is not newer than this proxy's.
    log_event(event::config_loaded, "peer=" + from + " version=" + std::to_string(got->config.version) +
                                        " registry=" + std::to_string(got->servers.version));
    const bool newer_config = got->config.version > m_config.version;
    apply(std::move(got->config));
    if (newer_config) {
        m_packed_config = std::move(got->packed_config);
    }
    if (got->servers.version != 0) {
        apply(got->servers);
    }
}

} // namespace cornellever::cluster
