#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

namespace cornellever::ctl {

/// Summary of the state dump of a proxy, which is a process with the role
/// `serve`.
struct proxy_status {
    std::string name;
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    std::uint64_t sessions{0};
    bool store_reachable{false};
    /// True if the proxy is draining before a planned shutdown.
    bool leaving{false};
    std::size_t peers_alive{0};
    /// Maps each service to the key of the server that the proxy considers the
    /// primary; the key is empty when the proxy knows no primary.
    std::map<std::string, std::string> primaries;
};

/// Parses a state dump; missing or malformed fields become 0, empty or false.
[[nodiscard]] proxy_status parse_status(const Json::Value& dump);

/// Lists the problems of the proxies, one per line: store unreachable, outdated
/// configuration, unknown primary, proxies that disagree about a primary.
[[nodiscard]] std::vector<std::string> find_problems(std::span<const proxy_status> proxies);

/// Formats a status for display: one line, and one more for each service.
[[nodiscard]] std::string to_text(const proxy_status& proxy);

} // namespace cornellever::ctl
