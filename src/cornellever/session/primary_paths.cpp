#include "cornellever/session/primary_paths.hpp"

#include <algorithm>

namespace cornellever::session {

void primary_paths::record_contact(const std::string& service, const proxy_node& peer, time_point last_contact) {
    auto& known = m_paths[service][peer.name];
    known.peer = peer;
    known.last_contact = std::max(known.last_contact, last_contact);
}

std::vector<proxy_node> primary_paths::peers_reaching(std::string_view service, std::uint64_t session, time_point now,
                                                      time_point local_contact) const {
    std::vector<proxy_node> out;
    const auto found = m_paths.find(service);
    if (found == m_paths.end()) {
        return out;
    }
    for (const auto& [name, item] : found->second) {
        if (now - item.last_contact <= max_contact_age && item.last_contact - local_contact >= min_advantage) {
            out.push_back(item.peer);
        }
    }
    if (!out.empty()) {
        std::ranges::rotate(out, out.begin() + static_cast<std::ptrdiff_t>(session % out.size()));
    }
    return out;
}

} // namespace cornellever::session
