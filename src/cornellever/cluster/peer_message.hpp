#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// A log position confirmed by the primary, and how long ago it was requested.
struct aged_sample {
    std::chrono::milliseconds age{0};
    sql::log_position position;
};

/// A proxy's observation of one service's primary, as sent to peers. Ages are relative to when the
/// message was sent: clocks of different VMs are not compared.
struct primary_report {
    std::string service;
    std::string primary;
    /// Time since the server last confirmed its leadership, and since it last answered.
    std::chrono::milliseconds leadership_confirmed_age{0};
    std::chrono::milliseconds last_answer_age{0};
    /// `unreachable`: nothing has answered at its address since. `refused`: its VM answered that no
    /// process listens.
    bool unreachable{false};
    bool refused{false};
    /// It answers as the primary but lacks commits that it had.
    bool log_lost{false};
    std::optional<aged_sample> sample{};
    /// The highest log position that it is known to have reported as the primary. A proxy that has
    /// just started needs it to detect that the log got shorter.
    std::optional<sql::log_position> highest_position{};
};

/// A proxy that the sender knows to be alive, and how long ago it last was.
struct peer_liveness {
    std::string name;
    std::chrono::milliseconds age{0};
};

/// A heartbeat. An answer carries the nonce of its question, so the asker knows that the ages in it
/// are relative to a time after the question was sent. Greetings and farewells, sent by proxies
/// that join and leave, are not answered.
struct peer_message {
    enum class kind { question, answer, greeting, farewell };

    kind what{kind::question};
    std::uint64_t nonce{0};
    /// Id of the deployment. Addresses are reused, and messages meant for another deployment are
    /// ignored.
    std::uint64_t cluster{0};
    std::string sender;
    std::string data_center{"-"};
    /// Differs for each start of the sender's process.
    std::uint64_t incarnation{0};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    /// Time since the store last confirmed these versions as current, directly or through peers;
    /// nothing if it never has.
    std::optional<std::chrono::milliseconds> config_age{};
    std::optional<std::chrono::milliseconds> registry_age{};
    /// Whether the store answers the sender.
    bool store_reachable{true};
    /// Whether the message carries the sender's primary reports, of which there may be none.
    bool has_reports{true};
    std::vector<primary_report> primaries{};
    /// Some proxies known to be alive, as gossip: in large clusters any two proxies exchange
    /// messages only now and then.
    std::vector<peer_liveness> alive_peers{};
};

/// Encodes a message as one datagram. Fields are separated by single spaces: a heartbeat is sent to
/// every peer twice a second, and bytes between data centres are paid for.
[[nodiscard]] std::string encode(const peer_message& message);

/// Nothing if the bytes are not a message of this protocol version.
[[nodiscard]] std::optional<peer_message> decode(std::string_view bytes);

} // namespace cornellever::cluster
