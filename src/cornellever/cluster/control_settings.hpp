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

/// Settings of the control plane: this proxy's identity and addresses, and how it keeps up with the
/// metadata store.
struct control_settings {
    std::string name;
    std::string data_center;
    std::uint64_t incarnation{0};
    asio::ip::udp::endpoint heartbeats;
    tcp::endpoint peers;
    /// Where this proxy accepts sessions that other proxies relay. All proxies use the same port.
    tcp::endpoint sessions;
    std::vector<asio::ip::udp::endpoint> seeds;
    /// Indexed by `cached_table`: how the proxies share the work of following a table.
    std::array<watch_policy, 2> watch;
    /// Age of the last confirmation that the configuration is current, from which this proxy asks
    /// its peers as often as it can. Nothing where revoked keys need not stop working within a
    /// bound.
    std::optional<std::chrono::milliseconds> confirmation_due{};
    /// All proxies start for the first time: none is registered yet.
    bool first_start{false};
};

} // namespace cornellever::cluster
