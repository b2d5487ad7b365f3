#include "cornellever/cluster/membership.hpp"

#include <algorithm>

namespace cornellever::cluster {

void membership::learn(const std::string& name, const std::string& data_center, const asio::ip::udp::endpoint& address,
                       time_point now) {
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

bool membership::hear(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now,
                      time_point counted_from) {
    if (message.sender == m_self) {
        return false;
    }
    auto [at, added] = m_peers.try_emplace(message.sender);
    auto& item = at->second;
    if (added) {
        item.known_since = now;
    }
    if (message.incarnation == item.earlier_incarnation && item.earlier_incarnation != 0) {
        return false;
    }
    const bool risen = item.incarnation != message.incarnation;
    if (risen) {
        item.earlier_incarnation = item.incarnation;
        item.primaries.clear();
    }
    item.address = from;
    item.data_center = message.data_center;
    item.incarnation = message.incarnation;
    item.heard_at = now;
    item.unanswered_since = {};
    item.alive_at = now;
    item.config_version = message.config_version;
    item.registry_version = message.registry_version;
    item.store_reachable = message.store_reachable;
    if (counted_from >= item.reported_at && message.reports) {
        item.primaries = message.primaries;
        item.reported_at = counted_from;
    }
    return risen;
}

void membership::hear_of(const heard_peer& other, time_point now) {
    const auto found = m_peers.find(other.name);
    if (found != m_peers.end()) {
        found->second.alive_at = std::max(found->second.alive_at, now - other.age);
    }
}

void membership::note_asked(std::span<const asio::ip::udp::endpoint> addresses, time_point now) {
    for (auto& [name, item] : m_peers) {
        if (item.unanswered_since == time_point{} && std::ranges::find(addresses, item.address) != addresses.end()) {
            item.unanswered_since = now;
        }
    }
}

void membership::leave(const std::string& name) {
    m_peers.erase(name);
}

std::vector<std::string> membership::forget_silent(time_point now) {
    std::vector<std::string> out;
    for (const auto& [name, item] : m_peers) {
        const auto silent = now - std::max(item.alive_at, item.known_since);
        if (silent > counted_for && failed_to_answer(item, now)) {
            out.push_back(name);
        }
    }
    for (const auto& name : out) {
        m_peers.erase(name);
    }
    return out;
}

std::vector<std::string> membership::able(time_point now) const {
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
