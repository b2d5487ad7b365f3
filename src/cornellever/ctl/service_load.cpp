#include "cornellever/ctl/service_load.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "cornellever/rpc/fields.hpp"

namespace cornellever::ctl {

namespace {

/// Reads an object whose keys are priorities and whose values are counts.
std::map<int, std::uint64_t> counts_by_priority(const Json::Value& from) {
    std::map<int, std::uint64_t> out;
    if (!from.isObject()) {
        return out;
    }
    for (const auto& key : from.getMemberNames()) {
        int priority = 0;
        const auto parsed = std::from_chars(key.data(), key.data() + key.size(), priority);
        if (parsed.ec == std::errc{} && from[key].isUInt64()) {
            out[priority] = from[key].asUInt64();
        }
    }
    return out;
}

void add_server(server_load& into, const Json::Value& from) {
    if (!from.isObject()) {
        return;
    }
    into.slots = std::max(into.slots, rpc::uint_field(from, "slots"));
    into.in_flight += rpc::uint_field(from, "in_flight");
    into.connections += rpc::uint_field(from, "connections");
    if (from["typical_ms"].isNumeric()) {
        into.statement_ms = std::max(into.statement_ms, from["typical_ms"].asDouble());
    }
    into.draining = into.draining || (from["draining"].isBool() && from["draining"].asBool());
}

std::string text_of(const std::map<int, std::uint64_t>& counts) {
    std::string out;
    for (const auto& [priority, count] : counts) {
        out += (out.empty() ? "" : ", ") + std::to_string(count) + " of priority " + std::to_string(priority);
    }
    return out.empty() ? "none" : out;
}

std::string text_of(const std::string& id, const server_load& server) {
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%.1f", server.statement_ms);
    return "  " + id + ": " + (server.primary ? "primary" : "replica") + (server.draining ? ", draining" : "") + ", " +
           std::to_string(server.in_flight) + " statements in flight on " + std::to_string(server.slots) + " slots, " +
           time.data() + " ms each, " + std::to_string(server.connections) + " connections\n";
}

} // namespace

std::optional<service_load> summarize_load(std::string_view service, std::span<const Json::Value> dumps) {
    service_load out{.service = std::string{service}};
    for (const auto& dump : dumps) {
        if (!dump.isObject()) {
            continue;
        }
        out.promotions += rpc::uint_field(dump, "promotions");
        out.promotions_given_up += rpc::uint_field(dump, "promotions_given_up");
        out.handovers += rpc::uint_field(dump, "handovers");
        out.handovers_given_up += rpc::uint_field(dump, "handovers_given_up");
        if (!dump["services"].isObject() || !dump["services"][out.service].isObject()) {
            continue;
        }
        const auto& pool = dump["services"][out.service];
        if (pool["servers"].isObject()) {
            for (const auto& id : pool["servers"].getMemberNames()) {
                add_server(out.servers[id], pool["servers"][id]);
            }
        }
        if (const auto found = out.servers.find(rpc::text_field(pool, "primary")); found != out.servers.end()) {
            found->second.primary = true;
        }
        out.proxies.push_back({.proxy = rpc::text_field(dump, "name"),
                               .owner = pool["owner"].isBool() && pool["owner"].asBool(),
                               .waiting = counts_by_priority(pool["waiting_by_priority"]),
                               .refused = counts_by_priority(pool["refused_by_priority"])});
    }
    return out.proxies.empty() ? std::nullopt : std::optional{std::move(out)};
}

std::string to_text(const service_load& load) {
    std::string out = load.service + ": " + std::to_string(load.proxies.size()) + " proxies, " +
                      std::to_string(load.promotions) + " primaries replaced, " +
                      std::to_string(load.promotions_given_up) + " replacements given up, " +
                      std::to_string(load.handovers) + " handovers, " + std::to_string(load.handovers_given_up) +
                      " handovers given up\n";
    for (const auto& [id, server] : load.servers) {
        out += text_of(id, server);
    }
    for (const auto& item : load.proxies) {
        out += "  " + item.proxy + (item.owner ? " (owner)" : "") + ": waiting " + text_of(item.waiting) +
               "; refused " + text_of(item.refused) + "\n";
    }
    return out;
}

} // namespace cornellever::ctl
