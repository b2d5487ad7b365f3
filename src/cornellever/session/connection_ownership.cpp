#include "cornellever/session/connection_ownership.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "cornellever/core/stable_hash.hpp"
#include "cornellever/routing/connection_budget.hpp"

namespace cornellever::session {

namespace {

/// Connections of an owner to each server: a statement can run while a
/// transaction rests on the other.
constexpr std::size_t wanted_connections = 2;

/// Owners of one service's connections. The loss of one moves an eighth of the
/// sessions; more owners only send more statements at a time to servers that
/// run two, and more heartbeats, since each asks all others.
constexpr std::size_t most_owners = 8;

/// With fewer proxies than this a relay's extra hop costs more than a second
/// connection each brings.
constexpr std::size_t few_proxies = 12;

} // namespace

bool connection_ownership::owns(std::string_view proxy) const {
    return owners.empty() || std::ranges::any_of(owners, [&](const auto& item) { return item.name == proxy; });
}

connection_ownership allocate_connections(std::string_view service, std::size_t limit,
                                          std::span<const proxy_node> proxies) {
    const auto each = routing::connections_per_proxy(limit, proxies.size());
    if (each >= 2 || proxies.size() < few_proxies) {
        return {{},
                each,
                std::max(each, routing::connections_under_load(limit) / std::max<std::size_t>(1, proxies.size()))};
    }
    const auto usable = routing::shared_connections(limit);
    const auto wanted = std::clamp<std::size_t>(usable / wanted_connections, 1, std::min(proxies.size(), most_owners));
    using ranked_place = std::pair<std::uint64_t, const proxy_node*>;
    std::map<std::string_view, std::vector<ranked_place>> by_place;
    for (const auto& item : proxies) {
        by_place[item.data_center].emplace_back(stable_hash({service, "/", item.name}), &item);
    }
    for (auto& [place, items] : by_place) {
        std::ranges::sort(items, {}, &ranked_place::first);
    }
    connection_ownership out;
    // One of each data centre in turn: a session finds an owner nearby.
    for (std::size_t rank = 0; out.owners.size() < wanted; ++rank) {
        for (const auto& [place, items] : by_place) {
            if (rank < items.size() && out.owners.size() < wanted) {
                out.owners.push_back(*items[rank].second);
            }
        }
    }
    out.connections_each = std::max<std::size_t>(1, usable / out.owners.size());
    out.connections_each_under_load =
        std::max(out.connections_each, routing::connections_under_load(limit) / out.owners.size());
    return out;
}

} // namespace cornellever::session
