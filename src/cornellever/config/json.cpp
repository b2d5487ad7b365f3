#include "cornellever/config/json.hpp"

namespace cornellever::config {

namespace {

Json::Value instance_to_json(const instance& item) {
    Json::Value out;
    out["name"] = item.name;
    out["zone"] = item.zone;
    out["address"] = item.address;
    out["connections"] = item.connections;
    return out;
}

result<instance> instance_from_json(const Json::Value& value) {
    if (!value.isObject() || !value["name"].isString() || !value["address"].isString()) {
        return fail(errc::bad_request, "instance needs name and address");
    }
    return instance{value["name"].asString(), value["zone"].asString(), value["address"].asString(),
                    value.get("connections", default_connections).asInt()};
}

result<database> database_from_json(const Json::Value& value) {
    database out{value["name"].asString(), {}};
    for (const auto& item : value["instances"]) {
        auto parsed = instance_from_json(item);
        if (!parsed) {
            return std::unexpected{parsed.error()};
        }
        out.instances.push_back(std::move(*parsed));
    }
    return out;
}

result<service> service_from_json(const Json::Value& value) {
    service out;
    out.name = value["name"].asString();
    out.max_staleness = std::chrono::milliseconds{value.get("max_staleness_ms", 0).asInt64()};
    out.replica_wait =
        std::chrono::milliseconds{value.get("replica_wait_ms", Json::Int64{default_replica_wait_ms}).asInt64()};
    out.transaction_idle =
        std::chrono::milliseconds{value.get("transaction_idle_ms", Json::Int64{default_transaction_idle_ms}).asInt64()};
    for (const auto& kind : value["non_repeatable"]) {
        out.non_repeatable.push_back(kind.asString());
    }
    for (const auto& item : value["databases"]) {
        auto parsed = database_from_json(item);
        if (!parsed) {
            return std::unexpected{parsed.error()};
        }
        out.databases.push_back(std::move(*parsed));
    }
    return out;
}

} // namespace

Json::Value to_json(const cluster& config) {
    Json::Value out;
    out["name"] = config.name;
    out["zones"] = Json::arrayValue;
    for (const auto& zone : config.zones) {
        out["zones"].append(zone);
    }
    out["services"] = Json::arrayValue;
    for (const auto& item : config.services) {
        Json::Value svc;
        svc["name"] = item.name;
        svc["max_staleness_ms"] = static_cast<Json::Int64>(item.max_staleness.count());
        svc["replica_wait_ms"] = static_cast<Json::Int64>(item.replica_wait.count());
        svc["transaction_idle_ms"] = static_cast<Json::Int64>(item.transaction_idle.count());
        svc["non_repeatable"] = Json::arrayValue;
        for (const auto& kind : item.non_repeatable) {
            svc["non_repeatable"].append(kind);
        }
        svc["databases"] = Json::arrayValue;
        for (const auto& db : item.databases) {
            Json::Value entry;
            entry["name"] = db.name;
            entry["instances"] = Json::arrayValue;
            for (const auto& inst : db.instances) {
                entry["instances"].append(instance_to_json(inst));
            }
            svc["databases"].append(entry);
        }
        out["services"].append(svc);
    }
    return out;
}

namespace {

result<cluster> cluster_from_json(const Json::Value& value) {
    if (!value.isObject() || !value["services"].isArray()) {
        return fail(errc::bad_request, "configuration needs a services array");
    }
    cluster out;
    out.name = value["name"].asString();
    for (const auto& zone : value["zones"]) {
        out.zones.push_back(zone.asString());
    }
    for (const auto& item : value["services"]) {
        auto parsed = service_from_json(item);
        if (!parsed) {
            return std::unexpected{parsed.error()};
        }
        out.services.push_back(std::move(*parsed));
    }
    return out;
}

} // namespace

result<cluster> from_json(const Json::Value& value) {
    // jsoncpp throws if a field does not have the requested type. The exception is caught because a malformed row in
    // the store must not terminate the process.
    try {
        return cluster_from_json(value);
    } catch (const Json::Exception& problem) {
        return fail(errc::bad_request, std::string{"stored configuration: "} + problem.what());
    }
}

} // namespace cornellever::config
