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

/// Settings of a proxy process (`serve` role), read from the section `[serve]` of an INI file.
struct serve_settings {
    /// Name of the proxy, unique among the proxies and kept across restarts on the same VM.
    std::string name;
    std::string data_center;
    /// Endpoint that accepts connections of callers (client applications).
    tcp::endpoint callers;
    /// Endpoint that answers the load balancer's readiness probes.
    tcp::endpoint readiness;
    /// Endpoint that serves the configuration to other proxies.
    tcp::endpoint peers;
    /// Endpoint that receives the heartbeats of other proxies.
    tcp::endpoint heartbeats;
    /// Heartbeat endpoints of other proxies that may already be running.
    std::vector<tcp::endpoint> seeds;
    /// Endpoint of the metadata store.
    tcp::endpoint store;
    /// Endpoint of the service that carries out promotions (a replica becomes the primary).
    tcp::endpoint orders;
    /// True if all proxies of the cluster are started for the first time. The store can't contain this proxy's row yet,
    /// so the proxy writes its row without reading it first.
    bool first_start{false};
    /// Time from SIGTERM until the process is killed.
    std::chrono::seconds grace{6};
    /// The time after which all proxies must refuse a revoked API key, including proxies that are partitioned from the
    /// others. Without a value, only proxies that are connected to the others must refuse the key.
    std::optional<std::chrono::milliseconds> revocation{};
    /// Endpoint that receives datagrams in which other proxies request operations of the accounts whose rate limits
    /// this proxy coordinates. Port 0 turns rate limiting off.
    asio::ip::udp::endpoint limits{};
    /// How far an account may exceed its rate limit.
    limits::limit_bound limit_bound{};
    /// Whether the proxies may hand the leadership of an overloaded service over to a replica on their own.
    bool planned_handover{true};
    /// Lowest severity that is logged: debug, info, warning or error.
    std::string log_level{"info"};
    /// Endpoint that serves metrics as text. Port 0 turns metrics off.
    tcp::endpoint metrics;
};

/// Reads settings from `text`, the content of the INI file `file`, into `out`. Returns a finding with its line for
/// every problem; `out` is complete only if there are no findings.
[[nodiscard]] std::vector<ini::finding> read_serve_settings(std::string_view text, std::string_view file,
                                                            serve_settings& out);

/// Replaces each `{{placeholder}}` of a settings template by a valid value of
/// its type, so that the template can be checked before it is deployed.
[[nodiscard]] std::string fill_placeholders(std::string_view text);

} // namespace cornellever::session
