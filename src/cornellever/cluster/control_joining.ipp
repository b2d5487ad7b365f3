#pragma once

// Joining the other proxies and leaving them; who shares connections.

namespace cornellever::cluster {

/// Makes this proxy known to those that start later, and learns of those that
/// started before.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::register_self() {
    constexpr std::chrono::milliseconds pause{400};
    const std::string table{proxies_table};
    const auto address = own_row();
    bool registered = false;
    // Whoever reads the table after this proxy's row is in it finds this one,
    // and this one finds those whose rows were there before: no two miss each
    // other. After a restart the row is there already, and one reading will do;
    // 195 rows written at once would take the store 0.8 s at 250 a second.
    bool in_table = !m_settings.first_start;
    bool added = false;
    while (!registered) {
        if (!in_table) {
            const auto written = co_await m_store.write(table, m_settings.name, address);
            in_table = written.has_value();
            added = added || in_table;
        }
        if (in_table) {
            auto rows = co_await m_store.list(table);
            if (rows) {
                registered = std::ranges::any_of(rows->rows, [&](const store_row& row) {
                    return row.key == m_settings.name && row.value == address;
                });
                co_await take_proxies(std::move(*rows));
                in_table = registered;
                continue;
            }
        }
        co_await sleep_for(pause);
    }
    m_listed = true;
    share_budget();
    if (added) {
        greet_all();
    }
    ask_peers();
}

/// Where the others reach this proxy.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::string control<Store, Orders, Connector>::own_row() const {
    return m_settings.heartbeats.address().to_string() + ":" + std::to_string(m_settings.heartbeats.port()) + " " +
           m_settings.data_center;
}

/// Writes this proxy's row once more, spread over the time in which all proxies
/// do so: a proxy that starts later learns of the others from their rows.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::write_own_row_again() {
    std::uniform_int_distribution<long long> wait{0, rewrite_spread.count()};
    for (int tries = 0; tries < most_rewrites && !m_leaving; ++tries) {
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
asio::awaitable<void> control<Store, Orders, Connector>::take_proxies(store_rows listed) {
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
        m_members.learn(row.key, row.value.substr(blank + 1), {where.address(), where.port()}, boot_clock::now());
    }
    if (m_cluster == 0) {
        co_await name_cluster();
    }
}

/// The first proxy of a deployment gives it an id. Whose row it became is read
/// back: another may have been faster, or the answer was lost.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::name_cluster() {
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
    // Without an id all messages count, as they do from proxies that have none.
    log_event(event::store_lost, "table=" + table + " reason=cluster_id");
}

/// Each proxy that is known learns of this one at once, and not only as it
/// happens to be asked: whose connections count has to be the same for all. No
/// answers are wanted: 195 proxies that start together would send each other
/// 37,800 questions and as many answers, while callers come back. Those that
/// were in the table before are known to all and greet nobody.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::greet_all() {
    send(message_now(peer_message::kind::greeting), everybody());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::vector<asio::ip::udp::endpoint> control<Store, Orders, Connector>::everybody() const {
    std::vector<asio::ip::udp::endpoint> out;
    for (const auto& [name, item] : m_members.peers()) {
        out.push_back(item.address);
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::farewell() {
    send(message_now(peer_message::kind::farewell), everybody());
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::share_budget() {
    if (!m_listed && boot_clock::now() - m_started < unknown_for) {
        return;
    }
    std::vector<session::proxy_node> places{{m_settings.name, m_settings.data_center, m_settings.sessions}};
    for (const auto& [name, item] : m_members.peers()) {
        places.push_back({name, item.data_center, {item.address.address(), m_settings.sessions.port()}});
    }
    if (places != m_places || m_listed != m_places_complete) {
        m_places = places;
        m_places_complete = m_listed;
        m_counts.proxies = places.size();
        m_bridge.set_proxies(std::move(places), m_listed);
    }
}

} // namespace cornellever::cluster
