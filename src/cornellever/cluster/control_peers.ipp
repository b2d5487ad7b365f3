#pragma once

// Heartbeats between proxies.

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
peer_message control<Store, Orders, Connector>::message_now(peer_message::kind what) const {
    const auto now = boot_clock::now();
    // Rounded up: what is proved by an age must not look younger than it is.
    const auto age = [now](time_point at) { return std::chrono::ceil<std::chrono::milliseconds>(now - at); };
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
    for (const auto& [name, seen] : m_sights) {
        const auto& sight = seen.primary;
        if (sight.id.empty()) {
            continue;
        }
        primary_report report{.service = name,
                              .primary = sight.id,
                              .confirmed_age = age(sight.confirmed_at),
                              .heard_age = age(sight.heard_at),
                              .unreachable = sight.unreachable,
                              .refused = sight.refused,
                              .log_lost = sight.log_lost,
                              .furthest = sight.furthest};
        if (what == peer_message::kind::answer && seen.sample) {
            report.sample = aged_sample{age(seen.sample->asked_at), seen.sample->position};
        }
        out.primaries.push_back(std::move(report));
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send(const peer_message& message, std::span<const asio::ip::udp::endpoint> to) {
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
    for (const auto& [service, seen] : m_sights) {
        used.insert(service);
    }
    // With many proxies each asks a few, so that the work of one does not grow
    // with their number.
    auto peers =
        m_members.to_ask(used, owners_of(used), m_settings.data_center, sampled_peers, boot_clock::now(), m_random);
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
        for (const auto& owner : session::allocate_connections(name, limits->second.max_connections, m_places).owners) {
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
    if (m_members.counted() > few_proxies_watch) {
        // Whoever shares a service asks as well, and hears it in the answer: the
        // same in the question would be paid for twice.
        message.reports = false;
        message.primaries.clear();
    }
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

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::take_reports(const peer_message& message, const asio::ip::udp::endpoint& from,
                                                     time_point counted_from) {
    const session::proxy_node peer{message.sender, message.data_center, {from.address(), m_settings.sessions.port()}};
    std::vector<peer_sight> seen;
    for (const auto& item : message.primaries) {
        peer_sight sight{.service = item.service,
                         .primary = item.unreachable ? std::string{} : item.primary,
                         .confirmed_at = counted_from - item.confirmed_age,
                         .peer = peer,
                         .heard_at = counted_from - item.heard_age,
                         .reported = item.primary,
                         .furthest = item.furthest};
        if (item.sample) {
            sight.sample = routing::freshness_sample{counted_from - item.sample->age, item.sample->position};
        }
        seen.push_back(std::move(sight));
    }
    if (!seen.empty()) {
        m_bridge.take(std::move(seen));
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::suspicious() const {
    return std::ranges::any_of(m_sights, [](const auto& item) {
        const auto& sight = item.second.primary;
        return sight.unreachable || sight.id.empty();
    });
}

} // namespace cornellever::cluster
