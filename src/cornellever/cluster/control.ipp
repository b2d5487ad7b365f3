#pragma once

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
result<void> control<Store, Orders, Connector>::start() {
    boost::system::error_code ec;
    m_socket.open(asio::ip::udp::v4(), ec);
    m_socket.bind(m_settings.heartbeats, ec);
    if (ec) {
        return fail(errc::unavailable, "cannot bind the heartbeat address: " + ec.message());
    }
    m_rpc.on("snapshot", [this](const Json::Value&, rpc::connection&) -> asio::awaitable<result<Json::Value>> {
        co_return to_json(m_config, m_registry.registered());
    });
    m_rpc.on("dump", [this](const Json::Value&, rpc::connection&) { return dump(); });
    if (auto bound = m_rpc.listen(m_settings.peers); !bound) {
        return std::unexpected{bound.error()};
    }
    m_rpc.start();
    share_budget();
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
    for (const auto& [name, item] : m_members.peers()) {
        auto& peer = out["peers"][name];
        peer["alive"] = membership::is_alive(item, now);
        peer["heard_ms"] = static_cast<Json::Int64>(to_ms(now - item.heard_at));
        peer["store_reachable"] = item.store_reachable;
        peer["config_version"] = static_cast<Json::UInt64>(item.config_version);
    }
    for (const auto& [service, at] : m_watched) {
        out["watched"][service]["primary"] = at.primary;
        out["watched"][service]["verdict"] = std::string{to_string(at.verdict)};
        out["watched"][service]["replacing"] = at.replacing;
    }
    co_return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::take(routing::configuration config) {
    if (config.version <= m_config.version) {
        return;
    }
    m_config = config;
    m_bridge.update(std::move(config));
    for (const auto& [name, limits] : m_config.services) {
        m_watched.try_emplace(name);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::take(const routing::registry& registered) {
    if (registered.version < m_registry.effective().version) {
        return;
    }
    m_registry.take(registered, boot_clock::now());
    log_event(event::registry_loaded, "version=" + std::to_string(registered.version) +
                                          " servers=" + std::to_string(registered.servers.size()));
    m_bridge.update(m_registry.effective());
}

/// Makes this proxy known to those that start later, and learns of those that
/// started before.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::register_self() {
    constexpr std::chrono::milliseconds pause{400};
    const std::string table{"proxies"};
    const auto address = m_settings.heartbeats.address().to_string() + ":" +
                         std::to_string(m_settings.heartbeats.port()) + " " + m_settings.data_center;
    for (;;) {
        const auto written = co_await m_store.write(table, m_settings.name, address);
        if (written) {
            break;
        }
        co_await sleep_for(pause);
    }
    for (;;) {
        const auto rows = co_await m_store.list(table);
        if (rows) {
            for (const auto& row : rows->rows) {
                tcp::endpoint where;
                const auto blank = row.value.find(' ');
                if (blank != std::string::npos && parse_endpoint(row.value.substr(0, blank), where)) {
                    m_members.learn(row.key, row.value.substr(blank + 1), {where.address(), where.port()},
                                    boot_clock::now());
                }
            }
            m_listed = true;
            break;
        }
        co_await sleep_for(pause);
    }
    share_budget();
    ask_peers();
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::prepare_to_leave() {
    m_leaving = true;
    const auto removed = co_await m_store.remove("proxies", m_settings.name);
    if (!removed) {
        // The others drop a silent proxy by themselves after a while.
        log_event(event::store_lost, "table=proxies reason=\"" + removed.error().message + "\"");
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::farewell() {
    for (const auto& [name, item] : m_members.peers()) {
        send(message_now(peer_message::kind::farewell), item.address);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
peer_message control<Store, Orders, Connector>::message_now(peer_message::kind what) const {
    const auto now = boot_clock::now();
    const auto age = [now](time_point at) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - at); };
    peer_message out{.what = what,
                     .sender = m_settings.name,
                     .data_center = m_settings.data_center,
                     .incarnation = m_settings.incarnation,
                     .config_version = m_config.version,
                     .registry_version = m_registry.effective().version,
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
void control<Store, Orders, Connector>::send(const peer_message& message, const asio::ip::udp::endpoint& to) {
    // Heartbeats are lost now and then anyway; a send that would block or
    // fails is one of these.
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.send_to(asio::buffer(encode(message)), to, 0, ignored);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::ask_peers() {
    const auto now = boot_clock::now();
    m_last_heartbeat = now;
    std::vector<asio::ip::udp::endpoint> targets;
    for (const auto& [name, item] : m_members.peers()) {
        targets.push_back(item.address);
    }
    if (targets.empty()) {
        targets = m_settings.seeds;
    }
    // With many proxies each asks a few others at random, so that the work of
    // one does not grow with their number.
    std::ranges::shuffle(targets, m_random);
    if (targets.size() > sampled_peers) {
        targets.resize(sampled_peers);
    }
    auto message = message_now(peer_message::kind::question);
    message.nonce = ++m_last_nonce;
    m_questions[message.nonce] = {now};
    while (m_questions.size() > 16) {
        m_questions.erase(m_questions.begin());
    }
    for (const auto& to : targets) {
        if (to != m_settings.heartbeats) {
            send(message, to);
        }
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::receive() {
    std::array<char, 8192> buffer{};
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
            handle(*message, from);
        }
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::handle(const peer_message& message, const asio::ip::udp::endpoint& from) {
    if (message.sender == m_settings.name) {
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
        log_event(event::member_joined, "proxy=" + message.sender);
    }
    if (message.what == peer_message::kind::question) {
        auto answer = message_now(peer_message::kind::answer);
        answer.nonce = message.nonce;
        if (!m_leaving) {
            send(answer, from);
        }
    } else {
        take_reports(message, counted_from);
    }
    compare_versions(message, from, now);
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
        m_behind_since = {};
        return;
    }
    if (m_behind_since == time_point{}) {
        m_behind_since = now;
    }
    const bool config_behind = message.config_version > m_config.version;
    const auto lead = !m_store_reachable() ? std::chrono::milliseconds{0} : config_behind ? feed_lead : registry_lead;
    if (!m_catching_up && now - m_behind_since >= lead) {
        m_catching_up = true;
        asio::co_spawn(m_executor, catch_up(message.sender, from.address()), asio::detached);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::take_reports(const peer_message& message, time_point counted_from) {
    std::vector<peer_sight> seen;
    for (const auto& item : message.primaries) {
        peer_sight sight{.service = item.service,
                         .primary = item.unreachable ? std::string{} : item.primary,
                         .confirmed_at = counted_from - item.confirmed_age};
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
    auto answer = co_await link.call("snapshot", Json::Value{Json::objectValue}, catch_up_limit);
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

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::tick() {
    for (;;) {
        co_await sleep_for(tick_period);
        const auto seen = co_await m_bridge.sights();
        for (const auto& item : seen) {
            m_watched[item.service].seen = item;
        }
        const auto now = boot_clock::now();
        if (m_registry.expire(now)) {
            m_bridge.update(m_registry.effective());
        }
        for (const auto& name : m_members.forget_silent(now)) {
            log_event(event::member_lost, "proxy=" + name + " reason=silent");
        }
        share_budget();
        if (now - m_last_heartbeat >= (suspicious() ? suspicious_period : heartbeat_period)) {
            ask_peers();
        }
        if (!m_leaving) {
            for (auto& [service, at] : m_watched) {
                look_after(service, at);
            }
        }
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
primary_verdict control<Store, Orders, Connector>::verdict_on(const std::string& service, watch& at,
                                                              std::vector<primary_view>& views) const {
    const auto now = boot_clock::now();
    const auto age = [now](time_point then) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
    };
    primary_evidence evidence;
    const auto& servers = m_registry.effective().servers;
    const auto entry = servers.find(at.primary);
    evidence.entry.draining = entry != servers.end() && entry->second.draining;
    if (m_store_reachable()) {
        evidence.entry.missing_for = m_registry.missing_for(at.primary, now);
    }
    if (at.seen && at.seen->primary.id == at.primary) {
        const auto& sight = at.seen->primary;
        evidence.own = primary_view{age(sight.heard_at), sight.unreachable, sight.refused};
    }
    for (const auto& [name, item] : m_members.peers()) {
        if (!membership::is_alive(item, now)) {
            continue;
        }
        for (const auto& report : item.primaries) {
            if (report.service == service && report.primary == at.primary) {
                views.push_back({report.heard_age + age(item.reported_at), report.unreachable, report.refused});
            }
        }
    }
    evidence.peers = views;
    evidence.known_peers = m_members.peers().size();
    return judge(evidence);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::chrono::milliseconds control<Store, Orders, Connector>::turn_delay(const std::string& service) const {
    if (!m_store_reachable()) {
        return turn_step * (longest_turn + 2);
    }
    // Those that use the service judge its primary, each in its turn.
    std::ptrdiff_t place = 0;
    for (const auto& name : m_members.able(boot_clock::now())) {
        const auto found = m_members.peers().find(name);
        if (name >= m_settings.name || found == m_members.peers().end()) {
            continue;
        }
        place += std::ranges::any_of(found->second.primaries,
                                     [&](const primary_report& item) { return item.service == service; })
                     ? 1
                     : 0;
    }
    return turn_step * std::min<std::ptrdiff_t>(place, longest_turn);
}

/// Decides whether a service's primary is to be replaced, and whether by this
/// proxy now.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::look_after(const std::string& service, watch& at) {
    const auto now = boot_clock::now();
    const auto& servers = m_registry.effective().servers;
    if (at.replacing || servers.empty() || now < at.not_before) {
        return;
    }
    std::string registered;
    bool any = false;
    for (const auto& [id, server] : servers) {
        any = any || server.service == service;
        if (server.service == service && server.role == routing::server_role::primary &&
            !m_registry.missing_for(id, now)) {
            registered = id;
        }
    }
    if (!any) {
        return;
    }
    if (at.seen && !at.seen->primary.id.empty()) {
        at.primary = at.seen->primary.id;
    } else if (!registered.empty()) {
        at.primary = registered;
    }
    const bool leaderless = registered.empty() && (!at.seen || at.seen->primary.id.empty());
    if (!leaderless) {
        at.leaderless_since = now;
    }
    std::vector<primary_view> views;
    auto verdict = verdict_on(service, at, views);
    if (verdict == primary_verdict::fine && now - at.leaderless_since > leaderless_for) {
        verdict = primary_verdict::lost;
    }
    if (verdict != at.verdict) {
        at.verdict = verdict;
        at.judged_since = now;
        log_event(event::primary_judged,
                  "service=" + service + " primary=" + at.primary + " verdict=" + std::string{to_string(verdict)} +
                      " peers=" + std::to_string(views.size()) +
                      (at.seen ? " heard_ms=" + std::to_string(to_ms(now - at.seen->primary.heard_at)) : ""));
    }
    if (verdict == primary_verdict::fine || now - at.judged_since < turn_delay(service)) {
        return;
    }
    at.replacing = true;
    asio::co_spawn(m_executor, replace(service, at.primary), asio::detached);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::replace(std::string service, std::string old) {
    log_event(event::failover_started, "service=" + service + " old=" + old);
    const auto ended = co_await m_promotion.run(service, old);
    const bool done = ended.state == "done";
    ++(done ? m_counts.promoted : m_counts.given_up);
    log_event(done ? event::failover_done : event::failover_given_up,
              "service=" + service + " old=" + old + " successor=" + ended.successor + " event=" + ended.event);
    auto& at = m_watched[service];
    at.replacing = false;
    at.not_before = boot_clock::now() + (ended.event == "held_by_other" ? others_turn : retry_pause);
    at.leaderless_since = boot_clock::now();
}

} // namespace cornellever::cluster
