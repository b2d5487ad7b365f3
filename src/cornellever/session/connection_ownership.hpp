#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"

namespace cornellever::session {

/// A proxy of the cluster.
struct proxy_node {
    std::string name;
    std::string data_center;
    /// Endpoint for sessions relayed by other proxies.
    tcp::endpoint sessions;

    friend bool operator==(const proxy_node&, const proxy_node&) = default;
};

/// Which proxies hold connections to a service's servers, and how many each of
/// them holds to every server.
struct connection_ownership {
    /// Empty when every proxy holds connections.
    std::vector<proxy_node> owners;
    std::size_t connections_each{1};
    /// Upper bound while requests wait whose account has no connection.
    std::size_t connections_each_under_load{1};

    [[nodiscard]] bool owns(std::string_view proxy) const;
};

/// Allocates the `limit` connections that each server of a service accepts.
/// Every proxy holds its own if there are two for each, or if there are few
/// proxies; otherwise some proxies own all connections and the others relay
/// their callers' sessions to them. Owners are chosen by rendezvous hashing:
/// proxies with the same membership list choose the same owners, and a change
/// of membership moves few of them.
[[nodiscard]] connection_ownership allocate_connections(std::string_view service, std::size_t limit,
                                                        std::span<const proxy_node> proxies);

} // namespace cornellever::session
