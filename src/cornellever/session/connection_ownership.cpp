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

/// Number of connections that an owner (a proxy that holds connections for itself and for other proxies) has to each
/// server. With two, a statement can run on one connection while a transaction that is idle between statements holds
/// the other.
constexpr std::size_t connections_per_owner = 2;

/// Maximum number of owners of one service's connections. With eight owners, the loss of one moves an eighth of the
/// sessions to other owners. More owners would only send more concurrent statements to servers that run two at a time,
/// and more heartbeats, since each owner polls all others.
constexpr std::size_t max_owners = 8;

/// Minimum number of owners, if the connections suffice. With three, the concurrent loss of any two leaves one that the
/// other proxies already know.
constexpr std::size_t min_owners = 3;

/// Number of statements that an owner should run at once on each server. With three, a long read does not block a short
/// request, and the owner can choose among its waiting requests by priority. With eight owners of servers with five
/// slots, which run one statement each, one owner refused requests of priority 0 while others ran some of priority 2.
constexpr std::size_t statements_per_owner = 3;

/// Returns the maximum number of owners for servers with `slots` execution slots. Servers that cannot run enough
/// statements for `min_owners` owners get `max_owners`: their owners run one or two statements at once in any case.
std::size_t owner_limit(std::size_t slots) {
    const auto statements = routing::statements_per_proxy(slots, 1);
    if (statements < min_owners * statements_per_owner) {
        return max_owners;
    }
    return std::min(max_owners, statements / statements_per_owner);
}

/// Returns how many owners a service should have: with as many as there are proxies for each service, a proxy owns one
/// service on average.
std::size_t wanted_owners(std::size_t proxies, std::size_t services, std::size_t slots) {
    const auto per_service = (proxies + services - 1) / services;
    return std::min(proxies, std::clamp(per_service, min_owners, owner_limit(slots)));
}

/// Minimum number of proxies for which only some proxies own the connections. With fewer proxies, the extra hop of a
/// relayed session costs more than a second connection for each owner gains.
constexpr std::size_t min_sharing_proxies = 12;

} // namespace

bool connection_ownership::owns(std::string_view proxy) const {
    return owners.empty() || std::ranges::any_of(owners, [&](const auto& item) { return item.name == proxy; });
}

connection_ownership allocate_connections(std::string_view service, std::size_t limit,
                                          std::span<const proxy_node> proxies, std::size_t services,
                                          std::size_t slots) {
    const auto each = routing::connections_per_proxy(limit, proxies.size());
    if (each >= 2 || proxies.size() < min_sharing_proxies) {
        return {{},
                each,
                std::max(each, routing::connections_under_load(limit) / std::max<std::size_t>(1, proxies.size()))};
    }
    const auto usable = routing::shared_connections(limit);
    const auto wanted = wanted_owners(proxies.size(), std::max<std::size_t>(1, services), slots);
    const auto owner_count = std::clamp<std::size_t>(usable / connections_per_owner, 1, wanted);
    using ranked_node = std::pair<std::uint64_t, const proxy_node*>;
    std::map<std::string_view, std::vector<ranked_node>> by_data_center;
    for (const auto& item : proxies) {
        by_data_center[item.data_center].emplace_back(stable_hash({service, "/", item.name}), &item);
    }
    for (auto& [data_center, nodes] : by_data_center) {
        std::ranges::sort(nodes, {}, &ranked_node::first);
    }
    connection_ownership out;
    // Owners are chosen round-robin over the data centres, so that sessions find an owner nearby.
    for (std::size_t rank = 0; out.owners.size() < owner_count; ++rank) {
        for (const auto& [data_center, nodes] : by_data_center) {
            if (rank < nodes.size() && out.owners.size() < owner_count) {
                out.owners.push_back(*nodes[rank].second);
            }
        }
    }
    out.connections_each = std::max<std::size_t>(1, usable / out.owners.size());
    out.connections_each_under_load =
        std::max(out.connections_each, routing::connections_under_load(limit) / out.owners.size());
    return out;
}

} // namespace cornellever::session
