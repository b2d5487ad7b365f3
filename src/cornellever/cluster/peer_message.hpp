#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// A log position that the primary proved to hold, and how long ago it was asked.
struct aged_sample {
    std::chrono::milliseconds age{0};
    sql::log_position position;
};

/// What a proxy has seen of one service's primary. Ages are as of the sending
/// of the message: clocks of different VMs are not compared.
struct primary_report {
    std::string service;
    std::string primary;
    /// Since the server last proved its lead, and since it last answered.
    std::chrono::milliseconds confirmed_age{0};
    std::chrono::milliseconds heard_age{0};
    /// Nobody answered at its address since; `refused` when its VM did, saying
    /// that no process listens.
    bool unreachable{false};
    bool refused{false};
    /// It answers and leads, without the commits that it had.
    bool log_lost{false};
    std::optional<aged_sample> sample{};
    /// The furthest position that it is known to have named while it led, so
    /// that a proxy that has just started can tell whether its log got shorter.
    std::optional<sql::log_position> highest_position{};
};

/// Another proxy that the sender heard of, and how long ago it was alive.
struct heard_peer {
    std::string name;
    std::chrono::milliseconds age{0};
};

/// A heartbeat. A question is answered with the same nonce, so that who asked
/// knows that the ages in the answer count from after the question. Greetings
/// and farewells, of proxies that join and leave, are not answered.
struct peer_message {
    enum class kind { question, answer, greeting, farewell };

    kind what{kind::question};
    std::uint64_t nonce{0};
    /// Of the deployment: addresses are used again by others, and a message
    /// that was meant for another deployment must not count.
    std::uint64_t cluster{0};
    std::string sender;
    std::string data_center{"-"};
    /// Differs for each start of the sender's process.
    std::uint64_t incarnation{0};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    /// How long ago these were current, by the store's word that reached the
    /// sender; nothing when none did.
    std::optional<std::chrono::milliseconds> config_age{};
    std::optional<std::chrono::milliseconds> registry_age{};
    /// Whether the store answers the sender.
    bool store_reachable{true};
    /// Whether the message tells what the sender saw of primaries; it may have
    /// seen none.
    bool reports{true};
    std::vector<primary_report> primaries{};
    /// A few others: with many proxies, each pair talks only now and then.
    std::vector<heard_peer> heard{};
};

/// One datagram. Fields are separated by blanks: a heartbeat is sent to every
/// peer twice a second and bytes between data centres are paid for.
[[nodiscard]] std::string encode(const peer_message& message);

/// Nothing when the bytes are not a message of this version.
[[nodiscard]] std::optional<peer_message> decode(std::string_view bytes);

} // namespace cornellever::cluster
