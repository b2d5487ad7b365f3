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

/// Who this proxy is among the others.
struct control_settings {
    std::string name;
    std::string data_center;
    std::uint64_t incarnation{0};
    asio::ip::udp::endpoint heartbeats;
    tcp::endpoint peers;
    /// Where this proxy takes sessions that others relay; the others do on the
    /// same port.
    tcp::endpoint sessions;
    std::vector<asio::ip::udp::endpoint> seeds;
    /// By `cached_table`: how proxies share the work of keeping up with a table.
    std::array<watch_policy, 2> watch;
    /// How long this proxy may go without word that its configuration is the
    /// newest before it asks its peers as often as it can; nothing where no key
    /// has to be dead by a bound.
    std::optional<std::chrono::milliseconds> confirmation_due{};
    /// All proxies start for the first time: none is registered yet.
    bool first_start{false};
};

} // namespace cornellever::cluster
