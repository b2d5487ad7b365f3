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

/// The proxies that hold connections to a service's backend servers (the owners), and how many connections each owner
/// holds to each server.
struct connection_ownership {
    /// Empty if every proxy is an owner.
    std::vector<proxy_node> owners;
    std::size_t connections_each{1};
    /// Maximum number of connections of an owner to each server while requests wait whose client account has no
    /// connection.
    std::size_t connections_each_under_load{1};

    [[nodiscard]] bool owns(std::string_view proxy) const;
};

/// Divides the connections that each server of a service accepts (`limit`) among the proxies. Every proxy is an owner
/// if each can hold at least two connections to a server, or if there are few proxies. Otherwise some proxies own all
/// connections, and the other proxies relay their callers' sessions to the owners. Owners are chosen by rendezvous
/// hashing, so that proxies with the same membership list choose the same owners and a membership change replaces few
/// owners. The more `services` share the proxies, the fewer owners each service has: each owner opens connections of
/// its own and keeps asking the primary whether it still leads, which few requests per owner would not repay. `slots`
/// is the largest number of execution slots of a server of the service, or 0 if it is not known. Servers with at least
/// five slots have so few owners that each owner runs at least three statements at once on a server.
[[nodiscard]] connection_ownership allocate_connections(std::string_view service, std::size_t limit,
                                                        std::span<const proxy_node> proxies, std::size_t services = 1,
                                                        std::size_t slots = 0);

} // namespace cornellever::session
