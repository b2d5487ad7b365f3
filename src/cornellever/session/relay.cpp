#include "cornellever/session/relay.hpp"

namespace cornellever::session {

std::vector<proxy_node> relay_order(const connection_ownership& ownership, std::string_view data_center,
                                    std::uint64_t session) {
    auto out = ownership.owners;
    const auto remote =
        std::ranges::stable_partition(out, [&](const proxy_node& item) { return item.data_center == data_center; });
    const auto local_end = remote.begin();
    const auto rotate_by_session = [session](auto from, auto to) {
        if (from != to) {
            std::rotate(from, from + static_cast<std::ptrdiff_t>(session % static_cast<std::uint64_t>(to - from)), to);
        }
    };
    rotate_by_session(out.begin(), local_end);
    rotate_by_session(local_end, out.end());
    return out;
}

std::vector<sql::statement> replay_statements(const session_state& from) {
    std::vector<sql::statement> out;
    for (const auto& [name, value] : from.values) {
        out.push_back({.kind = sql::statement_kind::set, .name = name, .text = value});
    }
    for (const auto& [name, item] : from.prepared) {
        out.push_back(
            {.kind = sql::statement_kind::prepare, .name = name, .access_mode = item.access_mode, .text = item.shape});
    }
    return out;
}

} // namespace cornellever::session
