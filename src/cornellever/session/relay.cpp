#include "cornellever/session/relay.hpp"

namespace cornellever::session {

std::vector<proxy_node> relay_order(const connection_ownership& shared, std::string_view data_center,
                                    std::uint64_t session) {
    auto out = shared.owners;
    const auto others =
        std::ranges::stable_partition(out, [&](const proxy_node& item) { return item.data_center == data_center; });
    const auto near_end = others.begin();
    const auto turn = [session](auto from, auto to) {
        if (from != to) {
            std::rotate(from, from + static_cast<std::ptrdiff_t>(session % static_cast<std::uint64_t>(to - from)), to);
        }
    };
    turn(out.begin(), near_end);
    turn(near_end, out.end());
    return out;
}

std::vector<sql::statement> statements_of(const session_state& from) {
    std::vector<sql::statement> out;
    for (const auto& [name, value] : from.values) {
        out.push_back({.kind = sql::statement_kind::set, .name = name, .text = value});
    }
    for (const auto& [name, item] : from.prepared) {
        out.push_back(
            {.kind = sql::statement_kind::prepare, .name = name, .touches = item.touches, .text = item.shape});
    }
    return out;
}

} // namespace cornellever::session
