#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::cluster {

/// Another proxy.
struct peer {
    asio::ip::udp::endpoint address;
    std::string data_center;
    std::uint64_t incarnation{0};
    /// When it last answered or asked; the epoch when never.
    boot_clock::time_point heard_at{};
    /// When a message was first awaited from it.
    boot_clock::time_point known_since{};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    bool store_reachable{true};
    /// Its reports, and the time from which their ages count.
    std::vector<primary_report> primaries{};
    boot_clock::time_point reported_at{};
};

/// The other proxies by name. A proxy is known from its row in the store, or
/// from its own heartbeat, whichever comes first.
class membership {
public:
    using time_point = boot_clock::time_point;

    /// A heartbeat at least every half second: two may be lost.
    static constexpr std::chrono::milliseconds alive_for{1600};
    /// A proxy that was killed is back, or replaced, by then; its connections
    /// are left to it until then.
    static constexpr std::chrono::milliseconds counted_for{8000};

    explicit membership(std::string self) : m_self{std::move(self)} {}

    /// A proxy that may be up at `address`. A name that moved to another
    /// address is taken there.
    void learn(const std::string& name, const std::string& data_center, const asio::ip::udp::endpoint& address,
               time_point now);

    /// A message of a proxy, whose ages count from `counted_from`. Returns
    /// true when it was not alive before.
    bool hear(const peer_message& message, const asio::ip::udp::endpoint& from, time_point now,
              time_point counted_from);

    /// The proxy leaves by plan.
    void leave(const std::string& name);

    /// Drops proxies that were silent for `counted_for`; returns their names.
    std::vector<std::string> forget_silent(time_point now);

    [[nodiscard]] const std::map<std::string, peer, std::less<>>& peers() const noexcept { return m_peers; }

    /// Names of the proxies that are alive and reach the store, in order; this
    /// one is among them whether it reaches the store or not.
    [[nodiscard]] std::vector<std::string> able(time_point now) const;

    /// Proxies whose connections count, this one among them.
    [[nodiscard]] std::size_t counted() const noexcept { return m_peers.size() + 1; }

    [[nodiscard]] static bool is_alive(const peer& item, time_point now) {
        return item.incarnation != 0 && now - item.heard_at < alive_for;
    }

private:
    std::string m_self;
    std::map<std::string, peer, std::less<>> m_peers;
};

} // namespace cornellever::cluster
