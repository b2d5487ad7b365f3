#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jsoncpp/json/value.h>

namespace cornellever::ctl {

/// The load on one backend server, summed over the proxies that reported it.
struct server_load {
    std::uint64_t slots{0};
    std::uint64_t in_flight{0};
    std::uint64_t connections{0};
    /// The longest average statement time that a proxy measured, in milliseconds, including the server's queue.
    double statement_ms{0.0};
    bool primary{false};
    bool draining{false};
};

/// The load on one proxy for a service. The maps are indexed by the priority of the requests' databases.
struct proxy_load {
    std::string proxy;
    /// Whether the proxy is a connection owner of the service.
    bool owner{false};
    std::map<int, std::uint64_t> waiting;
    std::map<int, std::uint64_t> refused;
};

/// The load of one service as its proxies see it.
struct service_load {
    std::string service;
    std::map<std::string, server_load, std::less<>> servers;
    /// The proxies that use the service.
    std::vector<proxy_load> proxies;
    /// Primaries replaced or handed over, and attempts given up, over all services of the proxies that were asked.
    std::uint64_t promotions{0};
    std::uint64_t promotions_given_up{0};
    std::uint64_t handovers{0};
    std::uint64_t handovers_given_up{0};
};

/// Summarizes the state dumps of proxies for one service. Returns nullopt if none of the proxies uses the service.
/// Missing or malformed fields count as 0.
[[nodiscard]] std::optional<service_load> summarize_load(std::string_view service, std::span<const Json::Value> dumps);

/// Formats the load as a table for display.
[[nodiscard]] std::string to_text(const service_load& load);

} // namespace cornellever::ctl
