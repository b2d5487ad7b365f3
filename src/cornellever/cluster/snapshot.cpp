#include "cornellever/cluster/snapshot.hpp"

#include "cornellever/core/daemon.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::cluster {

namespace {

using rpc::ms_field;
using rpc::text_field;
using rpc::uint_field;

Json::Value to_json(const routing::database_route& route) {
    Json::Value out;
    out["database"] = route.database;
    out["service"] = route.service;
    out["reads"] = static_cast<int>(route.reads);
    out["timeout_ms"] = static_cast<Json::Int64>(route.statement_timeout.count());
    out["target_ms"] = static_cast<Json::Int64>(route.target_latency.count());
    out["staleness_ms"] = static_cast<Json::Int64>(route.max_staleness.count());
    out["priority"] = route.priority;
    out["keyless"] = route.keyless;
    return out;
}

routing::database_route route_from(const Json::Value& from) {
    routing::database_route out;
    out.database = text_field(from, "database");
    out.service = text_field(from, "service");
    const auto reads = uint_field(from, "reads");
    // An unknown consistency level is treated as the strictest level.
    out.reads = reads <= 2 ? static_cast<routing::consistency>(reads) : routing::consistency::primary;
    out.statement_timeout = ms_field(from, "timeout_ms");
    out.target_latency = ms_field(from, "target_ms");
    out.max_staleness = ms_field(from, "staleness_ms");
    out.priority = static_cast<int>(rpc::optional_uint_field(from, "priority", routing::lowest_priority).value_or(0));
    // A database requires a key unless the snapshot says that it does not.
    out.keyless = from["keyless"].isBool() && from["keyless"].asBool();
    return out;
}

Json::Value to_json(const accounts::account& item) {
    Json::Value out;
    out["name"] = item.name;
    out["priority"] = item.priority;
    if (item.limit) {
        out["per_second"] = item.limit->per_second;
        out["burst"] = item.limit->burst;
    }
    return out;
}

accounts::account account_from(const Json::Value& from) {
    accounts::account out{.name = text_field(from, "name")};
    out.priority = static_cast<int>(rpc::optional_uint_field(from, "priority", routing::lowest_priority).value_or(0));
    if (from["per_second"].isNumeric() && from["burst"].isNumeric()) {
        out.limit = accounts::rate_limit{from["per_second"].asDouble(), from["burst"].asDouble()};
    }
    return out;
}

/// Reads the accounts and keys. Keys are transferred as digests. A digest that belongs to two
/// accounts is left out, because it is valid for neither.
result<accounts::directory> accounts_from(const Json::Value& items, const Json::Value& keys) {
    accounts::directory out;
    for (const auto& item : items) {
        out.add(account_from(item));
    }
    for (const auto& item : keys) {
        const auto digest = accounts::key_digest::parse(text_field(item, "digest"));
        if (!digest) {
            return fail(errc::bad_request, "a key without its digest");
        }
        out.add_key(*digest, text_field(item, "account"));
    }
    return out;
}

Json::Value to_json(const routing::backend_server& server) {
    Json::Value out;
    out["id"] = server.id;
    out["service"] = server.service;
    out["address"] = to_string(server.address);
    out["data_center"] = server.data_center;
    out["slots"] = static_cast<Json::UInt64>(server.slots);
    out["born_ms"] = static_cast<Json::UInt64>(server.started_at_ms);
    out["draining"] = server.draining;
    out["primary"] = server.role == routing::server_role::primary;
    return out;
}

result<routing::backend_server> server_from(const Json::Value& from) {
    routing::backend_server out;
    out.id = text_field(from, "id");
    out.service = text_field(from, "service");
    if (out.id.empty() || !parse_endpoint(text_field(from, "address"), out.address)) {
        return fail(errc::bad_request, "a server without an id or an address");
    }
    out.data_center = text_field(from, "data_center");
    out.slots = uint_field(from, "slots");
    out.started_at_ms = uint_field(from, "born_ms");
    out.draining = from["draining"].isBool() && from["draining"].asBool();
    const bool primary = from["primary"].isBool() && from["primary"].asBool();
    out.role = primary ? routing::server_role::primary : routing::server_role::replica;
    return out;
}

/// Maximum uncompressed size of a part of a snapshot. No valid part is larger.
constexpr std::size_t max_part_bytes = std::size_t{64} * 1024 * 1024;

Json::Value details_of(const routing::configuration& config) {
    Json::Value out;
    out["transaction_idle_ms"] = static_cast<Json::Int64>(config.transaction_idle.count());
    for (const auto* list : {"routes", "services", "accounts", "keys"}) {
        out[list] = Json::arrayValue;
    }
    for (const auto& [name, route] : config.routes) {
        out["routes"].append(to_json(route));
    }
    for (const auto& [name, limits] : config.services) {
        Json::Value item;
        item["service"] = name;
        item["max_connections"] = static_cast<Json::UInt64>(limits.max_connections);
        item["synchronous_replicas"] = limits.synchronous_replicas;
        out["services"].append(std::move(item));
    }
    for (const auto& [name, item] : config.accounts.all()) {
        out["accounts"].append(to_json(item));
    }
    for (const auto& [digest, name] : config.accounts.keys()) {
        Json::Value item;
        item["digest"] = digest.text();
        item["account"] = name;
        out["keys"].append(std::move(item));
    }
    return out;
}

/// Reads what `details_of` wrote.
result<void> read_details(const Json::Value& from, routing::configuration& out) {
    if (!from.isObject() || !from["routes"].isArray() || !from["services"].isArray() || !from["accounts"].isArray() ||
        !from["keys"].isArray()) {
        return fail(errc::bad_request, "a snapshot's configuration lacks a list");
    }
    out.transaction_idle = ms_field(from, "transaction_idle_ms");
    for (const auto& item : from["routes"]) {
        auto route = route_from(item);
        out.routes.insert_or_assign(route.database, std::move(route));
    }
    for (const auto& item : from["services"]) {
        routing::service_limits limits;
        limits.service = text_field(item, "service");
        limits.max_connections = uint_field(item, "max_connections");
        limits.synchronous_replicas =
            static_cast<int>(rpc::optional_uint_field(item, "synchronous_replicas", 1).value_or(0));
        out.services.insert_or_assign(limits.service, std::move(limits));
    }
    auto listed = accounts_from(from["accounts"], from["keys"]);
    if (!listed) {
        return std::unexpected{listed.error()};
    }
    out.accounts = std::move(*listed);
    return {};
}

Json::Value details_of(const routing::registry& servers) {
    Json::Value out{Json::arrayValue};
    for (const auto& [id, server] : servers.servers) {
        out.append(to_json(server));
    }
    return out;
}

result<void> read_details(const Json::Value& from, routing::registry& out) {
    if (!from.isArray()) {
        return fail(errc::bad_request, "a snapshot's servers are not a list");
    }
    for (const auto& item : from) {
        auto server = server_from(item);
        if (!server) {
            return std::unexpected{server.error()};
        }
        out.servers.insert_or_assign(server->id, std::move(*server));
    }
    return {};
}

Json::Value to_json(const packed_part& part) {
    Json::Value out;
    out["version"] = static_cast<Json::UInt64>(part.version);
    out["bytes"] = static_cast<Json::UInt64>(part.text.bytes);
    out["packed"] = part.text.base64;
    return out;
}

packed_part part_from(const Json::Value& from) {
    return {uint_field(from, "version"), {.bytes = uint_field(from, "bytes"), .base64 = text_field(from, "packed")}};
}

/// Decompresses and reads the part called `name`.
template <typename Content>
result<void> read_part(const packed_part& part, std::string_view name, Content& out) {
    const auto text = unpack(part.text, max_part_bytes);
    if (!text) {
        return std::unexpected{text.error()};
    }
    const auto details = rpc::parse_json(*text);
    if (!details) {
        return fail(errc::bad_request, "a snapshot's " + std::string{name} + " is not JSON");
    }
    out.version = part.version;
    return read_details(*details, out);
}

} // namespace

packed_part pack(const routing::configuration& config) {
    return {config.version, cornellever::pack(rpc::to_text(details_of(config)))};
}

packed_part pack(const routing::registry& servers) {
    return {servers.version, cornellever::pack(rpc::to_text(details_of(servers)))};
}

Json::Value snapshot_of(const packed_part& config, const packed_part& servers, known_versions known) {
    Json::Value out{Json::objectValue};
    if (config.version > known.config) {
        out["config"] = to_json(config);
    }
    if (servers.version > known.registry) {
        out["registry"] = to_json(servers);
    }
    return out;
}

result<proxy_snapshot> snapshot_from_json(const Json::Value& from) {
    if (!from.isObject()) {
        return fail(errc::bad_request, "not a snapshot");
    }
    proxy_snapshot out;
    if (from.isMember("config")) {
        out.packed_config = part_from(from["config"]);
        if (auto read = read_part(out.packed_config, "configuration", out.config); !read) {
            return std::unexpected{read.error()};
        }
    }
    if (from.isMember("registry")) {
        if (auto read = read_part(part_from(from["registry"]), "registry", out.servers); !read) {
            return std::unexpected{read.error()};
        }
    }
    return out;
}

} // namespace cornellever::cluster
