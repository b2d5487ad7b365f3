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
    /// Unique among the proxies, kept over restarts on the same VM.
    std::string name;
    std::string data_center;
    /// Where callers connect.
    tcp::endpoint callers;
    /// Where the load balancer asks whether new connections are wanted.
    tcp::endpoint readiness;
    /// Where other proxies ask for the configuration, and where they send
    /// their heartbeats.
    tcp::endpoint peers;
    tcp::endpoint heartbeats;
    /// Heartbeat addresses of proxies that may be up already.
    std::vector<tcp::endpoint> seeds;
    /// The metadata store, and where promotions are ordered.
    tcp::endpoint store;
    tcp::endpoint orders;
    /// The whole fleet starts for the first time: this proxy's row can't be in
    /// the store yet, and is written without a look.
    bool first_start{false};
    /// From SIGTERM until the process is killed.
    std::chrono::seconds grace{6};
    /// By when a key that was taken away must be dead everywhere, also at proxies
    /// that are cut off; nothing where those in touch are enough.
    std::optional<std::chrono::milliseconds> revocation{};
    /// Where other proxies ask for operations of the accounts whose limits this
    /// one coordinates, by datagrams; port 0: no limits are kept.
    asio::ip::udp::endpoint limits{};
    /// What counts as over a limit.
    limits::limit_bound limit_bound{};
    /// debug, info, warning or error.
    std::string log_level{"info"};
    /// Where counters and latencies are served as text; port 0: nowhere.
    tcp::endpoint metrics;
};

/// Reads settings from INI text named `file`. Every problem is a finding with
/// its line; `out` is complete only when there are none.
[[nodiscard]] std::vector<ini::finding> read_serve_settings(std::string_view text, std::string_view file,
                                                            serve_settings& out);

/// The text of a settings template with a value of the right kind in place of
/// each `{{placeholder}}`, so that it can be checked before a platform fills it.
[[nodiscard]] std::string fill_placeholders(std::string_view text);

} // namespace cornellever::session
