#include "cornellever/config/ini_text.hpp"

#include <span>

namespace cornellever::config {

namespace {

std::string joined(std::span<const std::string> items) {
    std::string out;
    for (const auto& item : items) {
        out += (out.empty() ? "" : ", ") + item;
    }
    return out;
}

std::string line(std::string_view key, std::string_view value) {
    return std::string{key} + " = " + std::string{value} + "\n";
}

std::string line(std::string_view key, std::int64_t value) {
    return line(key, std::to_string(value));
}

std::string instance_text(const service& svc, const database& db, const instance& item) {
    return "\n[instance " + svc.name + "/" + db.name + "/" + item.name + "]\n" + line("zone", item.zone) +
           line("address", item.address) + line("connections", item.connections);
}

std::string service_text(const service& svc) {
    std::string out = "\n[service " + svc.name + "]\n" + line("max_staleness_ms", svc.max_staleness.count()) +
                      line("replica_wait_ms", svc.replica_wait.count()) +
                      line("transaction_idle_ms", svc.transaction_idle.count());
    if (!svc.non_repeatable.empty()) {
        out += line("non_repeatable", joined(svc.non_repeatable));
    }
    for (const auto& db : svc.databases) {
        for (const auto& item : db.instances) {
            out += instance_text(svc, db, item);
        }
    }
    return out;
}

} // namespace

std::string to_ini(const cluster& config) {
    std::string out = "[cluster]\n" + line("name", config.name) + line("zones", joined(config.zones));
    for (const auto& svc : config.services) {
        out += service_text(svc);
    }
    return out;
}

} // namespace cornellever::config
