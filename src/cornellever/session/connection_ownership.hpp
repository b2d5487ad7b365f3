#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"

namespace cornellever::session {

/// A proxy as others reach it.
struct proxy_node {
    std::string name;
    std::string data_center;
    /// Where it takes the sessions that others relay.
    tcp::endpoint sessions;

    friend bool operator==(const proxy_node&, const proxy_node&) = default;
};

/// Which proxies hold connections to a service's servers, and how many each.
struct connection_ownership {
    /// Empty when every proxy does.
    std::vector<proxy_node> owners;
    std::size_t connections_each{1};
    /// While requests of accounts wait that have no connection.
    std::size_t connections_each_under_load{1};

    [[nodiscard]] bool owns(std::string_view proxy) const;
};

/// Shares out the `limit` connections that a server takes. Where they suffice
/// for two each, or the proxies are few, every proxy holds its own; otherwise
/// some own them and the others relay their callers' sessions there. All
/// proxies that know the same others come to the same owners, and one that
/// joins or leaves moves few of them.
[[nodiscard]] connection_ownership allocate_connections(std::string_view service, std::size_t limit,
                                                        std::span<const proxy_node> proxies);

} // namespace cornellever::session
