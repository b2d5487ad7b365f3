#pragma once

// Joining and leaving the cluster, and telling the traffic thread which proxies share the
// connections to the backend servers.

namespace cornellever::cluster {

/// Registers this proxy in the store and discovers the proxies registered before.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::register_self() {
    registration own{m_store,
                     std::string{proxies_table},
                     {m_settings.name, own_row()},
                     backoff{initial_registration_pause, max_registration_pause, std::random_device{}()}};
    // After a restart the row exists already and is not written again: 195 rows written at the same
    // time would take the store 0.8 s at 250 writes a second.
    const bool added =
        co_await own.run(!m_settings.first_start, [this](store_rows rows) { return load_proxies(std::move(rows)); });
    m_peers_loaded = true;
    publish_proxies();
    if (added) {
        send_greetings();
    }
    send_heartbeats();
}

/// Returns the value of this proxy's row: the address for heartbeats from other proxies, and the
/// data centre.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::string control<Store, Orders, Connector>::own_row() const {
    return m_settings.heartbeats.address().to_string() + ":" + std::to_string(m_settings.heartbeats.port()) + " " +
           m_settings.data_center;
}

/// Writes this proxy's row again after a random delay, because all proxies do this at the same
/// time. The row is needed by proxies that start later, which discover the others from these rows.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::rewrite_own_row() {
    std::uniform_int_distribution<long long> wait{0, rewrite_spread.count()};
    for (int tries = 0; tries < max_rewrites && !m_leaving; ++tries) {
        co_await sleep_for(std::chrono::milliseconds{wait(m_random)});
        const std::string table{proxies_table};
        const auto row = own_row();
        const auto written = co_await m_store.write(table, m_settings.name, row);
        if (written) {
            co_return;
        }
        log_event(event::store_lost, "table=proxies reason=\"" + written.error().message + "\"");
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::load_proxies(store_rows listed) {
    for (const auto& row : listed.rows) {
        if (row.key == cluster_key) {
            m_cluster = cluster_id(row.value);
            continue;
        }
        tcp::endpoint where;
        const auto blank = row.value.find(' ');
        if (blank == std::string::npos || !parse_endpoint(row.value.substr(0, blank), where)) {
            log_event(event::registration_refused,
                      "row=" + std::to_string(row.version) + " reason=\"no address of a proxy\"");
            continue;
        }
        m_members.add_peer(row.key, row.value.substr(blank + 1), {where.address(), where.port()}, boot_clock::now());
    }
    if (m_cluster == 0) {
        co_await create_cluster_id();
    }
}

/// Creates the id of the deployment. Only the first proxy to write it succeeds. If the write fails,
/// the row is read, because another proxy may have been faster or the response to this write may
/// have been lost.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::create_cluster_id() {
    const std::string table{proxies_table};
    const std::string key{cluster_key};
    const auto mine = m_settings.name + "/" + std::to_string(m_settings.incarnation);
    const auto written = co_await m_store.write_if(table, key, mine, 0);
    if (written) {
        m_cluster = cluster_id(mine);
        co_return;
    }
    const auto row = co_await m_store.read(table, key);
    if (row && row->version != 0) {
        m_cluster = cluster_id(row->value);
        co_return;
    }
    // Without an id, this proxy accepts messages of all deployments. Messages that carry no id are
    // accepted by all proxies.
    log_event(event::store_lost, "table=" + table + " reason=cluster_id");
}

/// Announces this proxy to all known peers immediately, not only when each is next sent a
/// heartbeat, because all proxies must agree on which proxies share the connections. Greetings are
/// not answered: 195 proxies that start together would exchange 37,800 questions and as many
/// answers while client applications reconnect. A proxy whose row was in the table before is known
/// to all peers and sends no greeting.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send_greetings() {
    send(build_message(peer_message::kind::greeting), all_peers());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::vector<asio::ip::udp::endpoint> control<Store, Orders, Connector>::all_peers() const {
    std::vector<asio::ip::udp::endpoint> out;
    for (const auto& [name, item] : m_members.peers()) {
        out.push_back(item.address);
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send_farewell() {
    send(build_message(peer_message::kind::farewell), all_peers());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::publish_proxies() {
    if (!m_peers_loaded && boot_clock::now() - m_started < peer_list_timeout) {
        return;
    }
    std::vector<session::proxy_node> proxies{{m_settings.name, m_settings.data_center, m_settings.sessions}};
    for (const auto& [name, item] : m_members.peers()) {
        proxies.push_back({name, item.data_center, {item.address.address(), m_settings.sessions.port()}});
    }
    if (proxies != m_published_proxies || m_peers_loaded != m_published_complete) {
        m_published_proxies = proxies;
        m_ownership.clear();
        m_published_complete = m_peers_loaded;
        m_counts.proxies = proxies.size();
        m_bridge.set_proxies(std::move(proxies), m_peers_loaded);
    }
}

} // namespace cornellever::cluster
