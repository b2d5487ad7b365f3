#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

namespace cornellever::ctl {

/// What an operator wants to know of a proxy that serves statement sessions,
/// taken from its state dump.
struct proxy_status {
    std::string name;
    std::uint64_t config_version{0};
    std::uint64_t registry_version{0};
    std::uint64_t sessions{0};
    bool store_reachable{false};
    bool leaving{false};
    std::size_t peers_alive{0};
    /// By service, the server that it takes for the primary; empty for none.
    std::map<std::string, std::string> primaries;
};

/// Reads a dump; fields that are missing count as 0, empty or false.
[[nodiscard]] proxy_status status_from(const Json::Value& dump);

/// What is wrong among the proxies, a line each: no store, no primary, and
/// what they disagree about. Empty when all is well.
[[nodiscard]] std::vector<std::string> problems(std::span<const proxy_status> proxies);

/// One line for people.
[[nodiscard]] std::string to_text(const proxy_status& proxy);

} // namespace cornellever::ctl
