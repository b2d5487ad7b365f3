#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/ini/document.hpp"
#include "cornellever/limits/limit_share.hpp"

namespace cornellever::session {

/// Settings of the `serve` role, section `[serve]` of an INI file.
struct serve_settings {
    /// Unique among the proxies; kept across restarts on the same VM.
    std::string name;
    std::string data_center;
    /// Listens for callers.
    tcp::endpoint callers;
    /// Answers the load balancer's readiness probes.
    tcp::endpoint readiness;
    /// Serves the configuration to other proxies.
    tcp::endpoint peers;
    /// Receives the heartbeats of other proxies.
    tcp::endpoint heartbeats;
    /// Heartbeat endpoints of proxies that may be running already.
    std::vector<tcp::endpoint> seeds;
    /// The metadata store.
    tcp::endpoint store;
    /// The service that carries out promotions.
    tcp::endpoint orders;
    /// All proxies are started for the first time. This proxy's row can't be in
    /// the store yet and is written without reading it first.
    bool first_start{false};
    /// From SIGTERM until the process is killed.
    std::chrono::seconds grace{6};
    /// The time after which a revoked key must be refused by all proxies, also
    /// by partitioned ones. Without a value only proxies that are connected to
    /// the rest are bound to refuse it.
    std::optional<std::chrono::milliseconds> revocation{};
    /// Receives datagrams of other proxies that request operations of the
    /// accounts whose rate limits this one coordinates. Port 0 turns rate
    /// limiting off.
    asio::ip::udp::endpoint limits{};
    /// The bound on operations beyond a rate limit.
    limits::limit_bound limit_bound{};
    /// debug, info, warning or error.
    std::string log_level{"info"};
    /// Serves metrics as text. Port 0 turns them off.
    tcp::endpoint metrics;
};

/// Reads settings from the INI text of `file`. Returns a finding, with its line,
/// for every problem; `out` is complete only if there are none.
[[nodiscard]] std::vector<ini::finding> read_serve_settings(std::string_view text, std::string_view file,
                                                            serve_settings& out);

/// Replaces each `{{placeholder}}` of a settings template by a valid value of
/// its type, so that the template can be checked before it is deployed.
[[nodiscard]] std::string fill_placeholders(std::string_view text);

} // namespace cornellever::session
