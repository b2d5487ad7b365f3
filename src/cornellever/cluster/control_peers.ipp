#pragma once

// What a proxy says to others and learns from them.

namespace cornellever::cluster {

/// Makes this proxy known to those that start later, and learns of those that
/// started before.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::register_self() {
    constexpr std::chrono::milliseconds pause{400};
    const std::string table{proxies_table};
    const auto address = m_settings.heartbeats.address().to_string() + ":" +
                         std::to_string(m_settings.heartbeats.port()) + " " + m_settings.data_center;
    bool registered = false;
    // Whoever reads the table after this proxy's row is in it finds this one,
    // and this one finds those whose rows were there before: no two miss each
    // other. After a restart the row is there already, and one reading will do;
    // when all VMs had lost power, 195 rows written at once took the store 0.8 s.
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
/// answers are wanted: all questions and answers of 195 proxies that started
/// together took each a quarter of a second of its share of a core. Those that
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
peer_message control<Store, Orders, Connector>::message_now(peer_message::kind what) const {
    const auto now = boot_clock::now();
    const auto age = [now](time_point at) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - at); };
    const auto age_of = [&](followed table) -> std::optional<std::chrono::milliseconds> {
        const auto at = m_followed.at(place(table)).current_at();
        return at == time_point{} ? std::nullopt : std::optional{age(at)};
    };
    peer_message out{.what = what,
                     .cluster = m_cluster,
                     .sender = m_settings.name,
                     .data_center = m_settings.data_center,
                     .incarnation = m_settings.incarnation,
                     .config_version = m_config.version,
                     .registry_version = m_registry.effective().version,
                     .config_age = age_of(followed::configuration),
                     .registry_age = age_of(followed::servers),
                     .store_reachable = m_store_reachable()};
    for (const auto& [name, at] : m_watched) {
        if (!at.seen || at.seen->primary.id.empty()) {
            continue;
        }
        const auto& sight = at.seen->primary;
        primary_report report{.service = name,
                              .primary = sight.id,
                              .confirmed_age = age(sight.confirmed_at),
                              .heard_age = age(sight.heard_at),
                              .unreachable = sight.unreachable,
                              .refused = sight.refused};
        if (what == peer_message::kind::answer && at.seen->sample) {
            report.sample = aged_sample{age(at.seen->sample->asked_at), at.seen->sample->position};
        }
        out.primaries.push_back(std::move(report));
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send(const peer_message& message,
                                             std::span<const asio::ip::udp::endpoint> to) {
    const auto bytes = encode(message);
    for (const auto& where : to) {
        // Heartbeats are lost now and then anyway; a send that would block or
        // fails is one of these.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), where, 0, ignored);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::ask_peers() {
    std::set<std::string, std::less<>> used;
    for (const auto& [service, at] : m_watched) {
        if (at.seen) {
            used.insert(service);
        }
    }
    // With many proxies each asks a few, so that the work of one does not grow
    // with their number.
    auto peers = m_members.to_ask(used, owners_of(used), m_settings.data_center, sampled_peers, boot_clock::now(),
                                  m_random);
    if (peers.related.empty() && peers.others.empty()) {
        peers.related = m_settings.seeds;
        std::erase(peers.related, m_settings.heartbeats);
    }
    ask(peers);
}

/// A primary that others see is not lost, and they have to be asked from the
/// start: a proxy that waited to hear of them by chance knew one or two of six
/// when a partition came 3 s after the first session, and had a replica
/// promoted while the others went on writing at the primary.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::set<std::string, std::less<>>
control<Store, Orders, Connector>::owners_of(const std::set<std::string, std::less<>>& services) const {
    std::set<std::string, std::less<>> out;
    for (const auto& name : services) {
        const auto limits = m_config.services.find(name);
        if (limits == m_config.services.end() || m_places.empty()) {
            continue;
        }
        for (const auto& owner : session::share_connections(name, limits->second.max_connections, m_places).owners) {
            out.insert(owner.name);
        }
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::ask(const peers_to_ask& peers) {
    const auto now = boot_clock::now();
    m_last_heartbeat = now;
    auto message = message_now(peer_message::kind::question);
    message.nonce = ++m_last_nonce;
    m_questions[message.nonce] = {now};
    while (m_questions.size() > remembered_questions) {
        m_questions.erase(m_questions.begin());
    }
    m_members.note_asked(peers.related, now);
    m_members.note_asked(peers.others, now);
    send(message, peers.related);
    if (!peers.others.empty()) {
        message.heard = m_members.some_alive(passed_on, now, m_random);
        send(message, peers.others);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::receive() {
    std::array<char, largest_message_bytes> buffer{};
    for (;;) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        const auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                               asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_await sleep_for(std::chrono::milliseconds{20});
            continue;
        }
        if (const auto message = decode(std::string_view{buffer.data(), size})) {
            m_peer_traffic.add(message->what, message->data_center == m_settings.data_center, size);
            handle(*message, from);
        }
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::handle(const peer_message& message, const asio::ip::udp::endpoint& from) {
    const bool stray = message.cluster != m_cluster && message.cluster != 0 && m_cluster != 0;
    if (message.sender == m_settings.name || stray) {
        return;
    }
    const auto now = boot_clock::now();
    if (message.what == peer_message::kind::farewell) {
        m_members.leave(message.sender);
        log_event(event::member_lost, "proxy=" + message.sender + " reason=left");
        return;
    }
    auto counted_from = now;
    if (message.what == peer_message::kind::answer) {
        const auto question = m_questions.find(message.nonce);
        if (question == m_questions.end()) {
            return;
        }
        // An answer may have been under way for long; what it says was true
        // when the question was sent, or later.
        counted_from = question->second.sent_at;
    }
    if (m_members.hear(message, from, now, counted_from)) {
        m_joined.push_back(message.sender);
    }
    for (const auto& other : message.heard) {
        m_members.hear_of(other, now);
    }
    if (message.what == peer_message::kind::question) {
        auto answer = message_now(peer_message::kind::answer);
        if (!message.heard.empty()) {
            answer.heard = m_members.some_alive(passed_on, now, m_random);
        }
        answer.nonce = message.nonce;
        if (!m_leaving) {
            send(answer, std::span{&from, 1});
        }
    } else if (message.what == peer_message::kind::answer) {
        take_reports(message, from, counted_from);
        hear_of_tables(message, counted_from);
    }
    compare_versions(message, from, now);
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
        lead = message.data_center == m_settings.data_center ? std::chrono::milliseconds{0} : far_lead;
    }
    if (!m_catching_up && now - m_behind_since >= lead) {
        m_catching_up = true;
        asio::co_spawn(m_executor, catch_up(message.sender, from.address()), asio::detached);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::take_reports(const peer_message& message, const asio::ip::udp::endpoint& from,
                                                     time_point counted_from) {
    const session::proxy_place peer{message.sender, message.data_center, {from.address(), m_settings.callers.port()}};
    std::vector<peer_sight> seen;
    for (const auto& item : message.primaries) {
        peer_sight sight{.service = item.service,
                         .primary = item.unreachable ? std::string{} : item.primary,
                         .confirmed_at = counted_from - item.confirmed_age,
                         .peer = peer,
                         .heard_at = counted_from - item.heard_age};
        if (item.sample) {
            sight.sample = routing::freshness_sample{counted_from - item.sample->age, item.sample->position};
        }
        seen.push_back(std::move(sight));
    }
    if (!seen.empty()) {
        m_bridge.take(std::move(seen));
    }
}

/// Takes configuration and servers from a peer that has newer ones: the store
/// does not answer this proxy, or its feed has not delivered them.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::catch_up(std::string from, asio::ip::address address) {
    rpc::channel link{m_executor, tcp::endpoint{address, m_settings.peers.port()}};
    Json::Value params{Json::objectValue};
    params["config_version"] = static_cast<Json::UInt64>(m_config.version);
    auto answer = co_await link.call("snapshot", std::move(params), catch_up_limit);
    m_catching_up = false;
    m_behind_since = {};
    if (!answer) {
        co_return;
    }
    auto got = snapshot_from_json(*answer);
    if (!got) {
        log_event(event::config_refused, "peer=" + from + " reason=\"" + got.error().message + "\"");
        co_return;
    }
    log_event(event::config_loaded, "peer=" + from + " version=" + std::to_string(got->config.version) +
                                        " registry=" + std::to_string(got->servers.version));
    take(std::move(got->config));
    take(got->servers);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::suspicious() const {
    return std::ranges::any_of(m_watched, [](const auto& item) {
        return item.second.seen && (item.second.seen->primary.unreachable || item.second.seen->primary.id.empty());
    });
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::share_budget() {
    if (!m_listed && boot_clock::now() - m_started < unknown_for) {
        return;
    }
    std::vector<session::proxy_place> places{{m_settings.name, m_settings.data_center, m_settings.callers}};
    for (const auto& [name, item] : m_members.peers()) {
        places.push_back({name, item.data_center, {item.address.address(), m_settings.callers.port()}});
    }
    if (places != m_places) {
        m_places = places;
        m_counts.proxies = places.size();
        m_bridge.set_proxies(std::move(places));
    }
}

} // namespace cornellever::cluster
