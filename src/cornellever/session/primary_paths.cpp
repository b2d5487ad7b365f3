#include "cornellever/session/primary_paths.hpp"

#include <algorithm>

namespace cornellever::session {

void primary_paths::note(const std::string& service, const proxy_node& through, time_point heard_at) {
    auto& known = m_paths[service][through.name];
    known.through = through;
    known.heard_at = std::max(known.heard_at, heard_at);
}

std::vector<proxy_node> primary_paths::through(std::string_view service, std::uint64_t session, time_point now,
                                               time_point heard_here) const {
    std::vector<proxy_node> out;
    const auto found = m_paths.find(service);
    if (found == m_paths.end()) {
        return out;
    }
    for (const auto& [name, item] : found->second) {
        if (now - item.heard_at <= fresh_for && item.heard_at - heard_here >= later_by) {
            out.push_back(item.through);
        }
    }
    if (!out.empty()) {
        std::ranges::rotate(out, out.begin() + static_cast<std::ptrdiff_t>(session % out.size()));
    }
    return out;
}

} // namespace cornellever::session
