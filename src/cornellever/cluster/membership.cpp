#include "cornellever/cluster/membership.hpp"

#include <algorithm>

namespace cornellever::cluster {

void membership::add_peer(const std::string& name, const std::string& data_center,
                          const asio::ip::udp::endpoint& address, time_point now) {
    if (name == m_self) {
        return;
    }
    auto [at, added] = m_peers.try_emplace(name);
    if (added) {
        at->second.known_since = now;
    }
    if (added || !is_alive(at->second, now)) {
        at->second.address = address;
        at->second.data_center = data_center;
    }
}

bool membership::record_message(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now,
                                time_point ages_as_of) {
    if (message.sender == m_self) {
        return false;
    }
    auto [at, added] = m_peers.try_emplace(message.sender);
    auto& item = at->second;
    if (added) {
        item.known_since = now;
    }
    if (message.incarnation == item.previous_incarnation && item.previous_incarnation != 0) {
        return false;
    }
    const bool new_process = item.incarnation != message.incarnation;
    if (new_process) {
        item.previous_incarnation = item.incarnation;
        item.primaries.clear();
    }
    item.address = from;
    item.data_center = message.data_center;
    item.incarnation = message.incarnation;
    item.last_message_at = now;
    item.unanswered_since = {};
    item.alive_at = now;
    item.config_version = message.config_version;
    item.registry_version = message.registry_version;
    item.store_reachable = message.store_reachable;
    if (ages_as_of >= item.reported_at && message.has_reports) {
        item.primaries = message.primaries;
        item.reported_at = ages_as_of;
    }
    return new_process;
}

void membership::record_alive(const peer_liveness& other, time_point now) {
    const auto found = m_peers.find(other.name);
    if (found != m_peers.end()) {
        found->second.alive_at = std::max(found->second.alive_at, now - other.age);
    }
}

void membership::record_sent(std::span<const asio::ip::udp::endpoint> addresses, time_point now) {
    for (auto& [name, item] : m_peers) {
        if (item.unanswered_since == time_point{} && std::ranges::find(addresses, item.address) != addresses.end()) {
            item.unanswered_since = now;
        }
    }
}

void membership::leave(const std::string& name) {
    m_peers.erase(name);
}

std::vector<std::string> membership::remove_unresponsive(time_point now) {
    std::vector<std::string> out;
    for (const auto& [name, item] : m_peers) {
        const auto silent = now - std::max(item.alive_at, item.known_since);
        if (silent > removal_timeout && failed_to_answer(item, now)) {
            out.push_back(name);
        }
    }
    for (const auto& name : out) {
        m_peers.erase(name);
    }
    return out;
}

std::vector<std::string> membership::eligible(time_point now) const {
    std::vector<std::string> out{m_self};
    for (const auto& [name, item] : m_peers) {
        if (is_alive(item, now) && item.store_reachable) {
            out.push_back(name);
        }
    }
    std::ranges::sort(out);
    return out;
}

} // namespace cornellever::cluster
