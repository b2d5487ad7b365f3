#pragma once

// Heartbeats between this proxy and the other proxies (its peers).

namespace cornellever::cluster {

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
peer_message control<Store, Orders, Connector>::build_message(peer_message::kind what) const {
    const auto now = boot_clock::now();
    // Ages are rounded up, so that confirmations never look more recent than they are.
    const auto age = [now](time_point at) { return std::chrono::ceil<std::chrono::milliseconds>(now - at); };
    const auto age_of = [&](cached_table table) -> std::optional<std::chrono::milliseconds> {
        const auto at = m_freshness.at(index_of(table)).confirmed_current_at();
        return at == time_point{} ? std::nullopt : std::optional{age(at)};
    };
    peer_message out{.what = what,
                     .cluster = m_cluster,
                     .sender = m_settings.name,
                     .data_center = m_settings.data_center,
                     .incarnation = m_settings.incarnation,
                     .config_version = m_config.version,
                     .registry_version = m_registry.effective().version,
                     .config_age = age_of(cached_table::configuration),
                     .registry_age = age_of(cached_table::servers),
                     .store_reachable = m_store_reachable()};
    for (const auto& [name, latest] : m_observations) {
        const auto& observed = latest.primary;
        if (observed.id.empty()) {
            continue;
        }
        primary_report report{.service = name,
                              .primary = observed.id,
                              .leadership_confirmed_age = age(observed.leadership_confirmed_at),
                              .last_answer_age = age(observed.last_contact_at),
                              .unreachable = observed.unreachable,
                              .refused = observed.refused,
                              .log_lost = observed.log_lost,
                              .highest_position = observed.highest_position,
                              .expected_wait = observed.expected_wait};
        if (const auto state = m_services.find(name); state != m_services.end()) {
            state->second.handover.add_load(observed, report);
        }
        if (what == peer_message::kind::answer && latest.sample) {
            report.sample = aged_sample{age(latest.sample->asked_at), latest.sample->position};
        }
        out.primaries.push_back(std::move(report));
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send(const peer_message& message, std::span<const asio::ip::udp::endpoint> to) {
    const auto bytes = encode(message);
    for (const auto& where : to) {
        // The protocol tolerates lost heartbeats, so a send that fails or would block is treated as
        // a lost heartbeat.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), where, 0, ignored);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send_heartbeats() {
    std::set<std::string, std::less<>> used;
    for (const auto& [service, latest] : m_observations) {
        used.insert(service);
    }
    // In a large cluster, each proxy asks only a few peers, so that the number of messages that it
    // sends does not grow with the cluster.
    auto compared = used;
    compared.insert(m_relayed_under_load.begin(), m_relayed_under_load.end());
    auto peers = m_members.select_targets(used, owners_of(compared), m_settings.data_center, max_service_peers_asked,
                                          boot_clock::now(), m_random);
    if (peers.service_peers.empty() && peers.gossip_peers.empty()) {
        peers.service_peers = m_settings.seeds;
        std::erase(peers.service_peers, m_settings.heartbeats);
    }
    send_questions(peers);
}

/// Returns the proxies that are allocated connections to these services. This proxy has to ask them
/// from the start, because a primary that any of them reaches is not lost. A proxy that discovered
/// them only by chance knew one or two of six when a network partition began 3 s after the first
/// session, and had a replica promoted while the others went on writing to the primary.
template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
std::set<std::string, std::less<>>
control<Store, Orders, Connector>::owners_of(const std::set<std::string, std::less<>>& services) {
    std::set<std::string, std::less<>> out;
    for (const auto& name : services) {
        for (const auto& owner : ownership_of(name).owners) {
            out.insert(owner.name);
        }
    }
    return out;
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::send_questions(const heartbeat_targets& peers) {
    const auto now = boot_clock::now();
    m_last_heartbeat = now;
    auto message = build_message(peer_message::kind::question);
    message.nonce = ++m_last_nonce;
    if (m_members.proxy_count() > small_cluster_size) {
        // Peers that use the same services send questions to this proxy too and get its reports in
        // the answers; reports in this question would be sent twice.
        message.has_reports = false;
        message.primaries.clear();
    }
    m_questions[message.nonce] = {now};
    while (m_questions.size() > max_open_questions) {
        m_questions.erase(m_questions.begin());
    }
    m_members.record_sent(peers.service_peers, now);
    m_members.record_sent(peers.gossip_peers, now);
    send(message, peers.service_peers);
    if (!peers.gossip_peers.empty()) {
        message.alive_peers = m_members.sample_alive(gossiped_peers, now, m_random);
        send(message, peers.gossip_peers);
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
asio::awaitable<void> control<Store, Orders, Connector>::receive() {
    std::array<char, max_message_bytes> buffer{};
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
    const bool foreign = message.cluster != m_cluster && message.cluster != 0 && m_cluster != 0;
    if (message.sender == m_settings.name || foreign) {
        return;
    }
    const auto now = boot_clock::now();
    if (message.what == peer_message::kind::farewell) {
        m_members.leave(message.sender);
        log_event(event::member_lost, "proxy=" + message.sender + " reason=left");
        return;
    }
    auto ages_as_of = now;
    if (message.what == peer_message::kind::answer) {
        const auto question = m_questions.find(message.nonce);
        if (question == m_questions.end()) {
            return;
        }
        // An answer may have been delayed in the network, but its contents were valid when the
        // question was sent or later.
        ages_as_of = question->second.sent_at;
    }
    if (m_members.record_message(message, from, now, ages_as_of)) {
        m_joined.push_back(message.sender);
    }
    for (const auto& other : message.alive_peers) {
        m_members.record_alive(other, now);
    }
    if (message.what == peer_message::kind::question) {
        auto answer = build_message(peer_message::kind::answer);
        if (!message.alive_peers.empty()) {
            answer.alive_peers = m_members.sample_alive(gossiped_peers, now, m_random);
        }
        answer.nonce = message.nonce;
        if (!m_leaving) {
            send(answer, std::span{&from, 1});
        }
    } else if (message.what == peer_message::kind::answer) {
        forward_reports(message, from, ages_as_of);
        apply_table_ages(message, ages_as_of);
    }
    compare_versions(message, from, now);
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
void control<Store, Orders, Connector>::forward_reports(const peer_message& message,
                                                        const asio::ip::udp::endpoint& from, time_point ages_as_of) {
    const session::proxy_node peer{message.sender, message.data_center, {from.address(), m_settings.sessions.port()}};
    std::vector<peer_observation> received;
    for (const auto& item : message.primaries) {
        peer_observation observed{.service = item.service,
                                  .primary = item.unreachable ? std::string{} : item.primary,
                                  .leadership_confirmed_at = ages_as_of - item.leadership_confirmed_age,
                                  .peer = peer,
                                  .last_contact_at = ages_as_of - item.last_answer_age,
                                  .reported = item.primary,
                                  .highest_position = item.highest_position,
                                  .load = {.reported_at = ages_as_of, .expected_wait = item.expected_wait}};
        if (item.sample) {
            observed.sample = routing::freshness_sample{ages_as_of - item.sample->age, item.sample->position};
        }
        received.push_back(std::move(observed));
    }
    if (!received.empty()) {
        m_bridge.update_observations(std::move(received));
    }
}

template <metadata_store Store, promotion_orders Orders, routing::link_connector Connector>
bool control<Store, Orders, Connector>::any_primary_suspect() const {
    return std::ranges::any_of(m_observations, [](const auto& item) {
        const auto& observed = item.second.primary;
        return observed.unreachable || observed.id.empty();
    });
}

} // namespace cornellever::cluster
