#include "cornellever/ctl/proxy_status.hpp"

#include <algorithm>

#include "cornellever/rpc/fields.hpp"

namespace cornellever::ctl {

namespace {

bool bool_field(const Json::Value& from, const char* name) {
    return from[name].isBool() && from[name].asBool();
}

std::size_t count_alive(const Json::Value& peers) {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers, [](const Json::Value& item) { return item.isObject() && bool_field(item, "alive"); }));
}

} // namespace

proxy_status parse_status(const Json::Value& dump) {
    proxy_status out;
    if (!dump.isObject()) {
        return out;
    }
    out.name = rpc::text_field(dump, "name");
    out.config_version = rpc::uint_field(dump, "config_version");
    out.registry_version = rpc::uint_field(dump, "registry_version");
    out.sessions = rpc::uint_field(dump, "sessions");
    out.store_reachable = bool_field(dump, "store_reachable");
    out.leaving = bool_field(dump, "leaving");
    if (dump["peers"].isObject()) {
        out.peers_alive = count_alive(dump["peers"]);
    }
    if (dump["services"].isObject()) {
        for (const auto& service : dump["services"].getMemberNames()) {
            out.primaries[service] = rpc::text_field(dump["services"][service], "primary");
        }
    }
    return out;
}

std::vector<std::string> find_problems(std::span<const proxy_status> proxies) {
    std::vector<std::string> out;
    std::uint64_t newest_version = 0;
    for (const auto& item : proxies) {
        newest_version = std::max(newest_version, item.config_version);
    }
    std::map<std::string, std::string> first_reported;
    for (const auto& item : proxies) {
        if (!item.store_reachable) {
            out.push_back(item.name + " does not reach the store");
        }
        if (item.config_version != newest_version) {
            out.push_back(item.name + " has configuration " + std::to_string(item.config_version) + ", not " +
                          std::to_string(newest_version));
        }
        for (const auto& [service, primary] : item.primaries) {
            if (primary.empty()) {
                out.push_back(item.name + " knows no primary of " + service);
                continue;
            }
            const auto& first = first_reported.emplace(service, primary).first->second;
            if (first != primary) {
                out.push_back(item.name + " reports " + primary + " as the primary of " + service + ", others " +
                              first);
            }
        }
    }
    return out;
}

std::string to_text(const proxy_status& proxy) {
    std::string out = proxy.name + ": configuration version " + std::to_string(proxy.config_version) +
                      ", servers version " + std::to_string(proxy.registry_version) + ", " +
                      std::to_string(proxy.sessions) + " sessions, " + std::to_string(proxy.peers_alive) +
                      " peers alive, store " + (proxy.store_reachable ? "reachable" : "unreachable") +
                      (proxy.leaving ? ", leaving" : "");
    for (const auto& [service, primary] : proxy.primaries) {
        out += "\n  " + service + ": primary " + (primary.empty() ? "unknown" : primary);
    }
    return out;
}

} // namespace cornellever::ctl
