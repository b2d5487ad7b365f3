#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

namespace cornellever::ctl {

/// Summary of the state dump of a proxy of the role `serve`.
struct proxy_status {
    std::string name;
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    std::uint64_t sessions{0};
    bool store_reachable{false};
    bool leaving{false};
    std::size_t peers_alive{0};
    /// By service, the key of the server that the proxy considers the primary;
    /// empty when it knows none.
    std::map<std::string, std::string> primaries;
};

/// Parses a dump; missing or malformed fields are 0, empty or false.
[[nodiscard]] proxy_status parse_status(const Json::Value& dump);

/// Lists the problems of the proxies, one line each: store unreachable, outdated
/// configuration, unknown primary, different primaries. Empty when there are none.
[[nodiscard]] std::vector<std::string> find_problems(std::span<const proxy_status> proxies);

/// Formats a status for display: one line, and one more for each service.
[[nodiscard]] std::string to_text(const proxy_status& proxy);

} // namespace cornellever::ctl
