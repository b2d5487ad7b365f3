#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/routing/statement_tally.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// A log position that the primary reported, and how long ago the sender of the message requested
/// it.
struct aged_sample {
    std::chrono::milliseconds age{0};
    sql::log_position position;
};

/// A proxy's observation of one service's primary, as sent to peers. Ages are relative to the time
/// when the message was sent, because the clocks of different VMs cannot be compared.
struct primary_report {
    std::string service;
    std::string primary;
    /// Time since the server last confirmed that it is the primary, and time since its last
    /// response of any kind.
    std::chrono::milliseconds leadership_confirmed_age{0};
    std::chrono::milliseconds last_answer_age{0};
    /// `unreachable` is true if nothing has responded at the server's address since that last
    /// response. `refused` is true if the server's VM replied that no process listens on the port.
    bool unreachable{false};
    bool refused{false};
    /// True if the server responds as the primary but lacks commits that it had before.
    bool log_lost{false};
    std::optional<aged_sample> sample{};
    /// The highest log position that the server is known to have reported as the primary. A proxy
    /// that has just started needs this position to detect that the server's log got shorter.
    std::optional<sql::log_position> highest_position{};
    /// Requests that wait for a connection at the sender. The three fields below are sent only while
    /// requests wait.
    std::size_t waiting{0};
    /// How long a request that arrives at the sender now is expected to wait.
    std::chrono::milliseconds expected_wait{0};
    /// The shortest lag of the other usable servers, so that each of them lags at least that much;
    /// nothing if none is usable.
    std::optional<std::chrono::milliseconds> shortest_lag{};
    /// Whether that lag shrinks fast enough to be gone soon (see `handover_watch::catching_up`).
    bool catching_up{false};
    /// How the statements ended that the sender sent to the primary during the last second.
    routing::statement_health statements{routing::statement_health::unknown};
};

/// A proxy that the sender knows to be alive, and the time since the last evidence of that.
struct peer_liveness {
    std::string name;
    std::chrono::milliseconds age{0};
};

/// A message of the heartbeat protocol. An answer carries the nonce of its question, so the proxy
/// that asked knows that the ages in the answer refer to a time after the question was sent.
/// Greetings are sent by proxies that join and farewells by proxies that shut down; neither is
/// answered.
struct peer_message {
    enum class kind { question, answer, greeting, farewell };

    kind what{kind::question};
    std::uint64_t nonce{0};
    /// Id of the deployment. Since addresses are reused, a proxy may receive messages meant for
    /// another deployment; it ignores them.
    std::uint64_t cluster{0};
    std::string sender;
    std::string data_center{"-"};
    /// Identifies the sender's process; each start of the sender gets a new one.
    std::uint64_t incarnation{0};
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    /// Time for which the sender's copies of the configuration and the registry have not been
    /// confirmed as current by the store, directly or through peers; nothing if they never were.
    std::optional<std::chrono::milliseconds> config_age{};
    std::optional<std::chrono::milliseconds> registry_age{};
    /// Whether the metadata store responds to the sender.
    bool store_reachable{true};
    /// Whether the message carries the sender's primary reports. If true, `primaries` may still be
    /// empty.
    bool has_reports{true};
    std::vector<primary_report> primaries{};
    /// Gossip: some proxies known to be alive. In large clusters, any two proxies exchange messages
    /// directly only now and then.
    std::vector<peer_liveness> alive_peers{};
};

/// Encodes a message as one datagram. Fields are separated by single spaces to keep the message
/// short: a proxy sends heartbeats to its peers twice a second, and traffic between data centres
/// costs money.
[[nodiscard]] std::string encode(const peer_message& message);

/// Returns the message, or nullopt if the bytes are not a message of this protocol version.
[[nodiscard]] std::optional<peer_message> decode(std::string_view bytes);

} // namespace cornellever::cluster
