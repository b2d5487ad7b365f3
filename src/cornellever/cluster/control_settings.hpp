#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornellever/cluster/store_watch.hpp"
#include "cornellever/core/asio.hpp"

namespace cornellever::cluster {

/// Settings of the control plane: this proxy's identity and addresses, and how it keeps its copies
/// of the metadata store's tables up to date.
struct control_settings {
    std::string name;
    std::string data_center;
    std::uint64_t incarnation{0};
    asio::ip::udp::endpoint heartbeats;
    tcp::endpoint peers;
    /// The address on which this proxy accepts sessions that other proxies forward to it. All
    /// proxies use the same port.
    tcp::endpoint sessions;
    std::vector<asio::ip::udp::endpoint> seeds;
    /// Indexed by `cached_table`: which proxies poll the store for changes to the table, and how
    /// long each poll lasts.
    std::array<watch_policy, 2> watch;
    /// Once the last confirmation that the configuration is current is older than this, this proxy
    /// sends heartbeats as often as it can to get a newer confirmation from a peer. Unset if
    /// revoked keys need not stop working within a fixed time.
    std::optional<std::chrono::milliseconds> confirmation_due{};
    /// Whether a primary whose replicas are far behind may be handed over to one of them.
    bool planned_handover{true};
    /// True if the deployment starts for the first time, so that no proxy is registered yet.
    bool first_start{false};
};

} // namespace cornellever::cluster
