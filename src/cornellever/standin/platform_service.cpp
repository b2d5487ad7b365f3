#include "cornellever/standin/platform_service.hpp"

#include <fstream>
#include <sstream>

#include "cornellever/core/log.hpp"
#include "cornellever/rpc/envelope.hpp"

namespace cornellever::standin {

platform_service::platform_service(asio::any_io_executor executor, platform_settings settings)
    : m_executor{std::move(executor)}
    , m_settings{std::move(settings)}
    , m_vm_list{m_settings.vm_list_lag} {
    load_snapshot();
}

void platform_service::bind(rpc::server& rpc) {
    const auto add_method = [&](std::string name, bool writes, result<Json::Value> (platform_service::*call)(params)) {
        rpc.on(std::move(name), [this, writes, call](params in, rpc::connection& conn) {
            return call_with_faults(in, conn, writes, call);
        });
    };
    add_method("table.get", false, &platform_service::table_get);
    add_method("table.put", true, &platform_service::table_put);
    add_method("table.transact", true, &platform_service::table_transact);
    add_method("table.list", false, &platform_service::table_list);
    add_method("object.put", true, &platform_service::object_put);
    add_method("object.get", false, &platform_service::object_get);
    add_method("object.list", false, &platform_service::object_list);
    add_method("vms.set", true, &platform_service::vms_set);
    add_method("vms.list", false, &platform_service::vms_list);
    add_method("dump", false, &platform_service::dump);
    rpc.on("fault.set", [this](params in, rpc::connection&) -> asio::awaitable<result<Json::Value>> {
        update(m_faults, in);
        log_event(event::platform_fault_set, rpc::to_text(to_json(m_faults)));
        co_return to_json(m_faults);
    });
}

asio::awaitable<result<Json::Value>>
platform_service::call_with_faults(params in, rpc::connection& conn, bool writes,
                                   result<Json::Value> (platform_service::*call)(params)) {
    if (m_faults.added_latency.count() > 0) {
        co_await sleep_for(m_faults.added_latency);
    }
    if (m_faults.down) {
        co_return fail(errc::unavailable, "the platform's table service is down");
    }
    auto answer = (this->*call)(in);
    if (writes && answer) {
        save_snapshot();
        if (m_faults.answers_to_drop > 0) {
            --m_faults.answers_to_drop;
            conn.drop_answer = true;
        }
    }
    co_return answer;
}

result<Json::Value> platform_service::table_get(params in) {
    auto found = m_table.get(in["key"].asString());
    if (!found) {
        return std::unexpected{found.error()};
    }
    Json::Value out;
    out["key"] = in["key"];
    out["version"] = static_cast<Json::UInt64>(found->version);
    out["value"] = found->value;
    return out;
}

result<Json::Value> platform_service::table_put(params in) {
    if (!in["key"].isString() || !in["expected_version"].isIntegral()) {
        return fail(errc::bad_request, "table.put needs key, value and expected_version");
    }
    const auto key = in["key"].asString();
    auto version = m_table.compare_and_set(key, in["expected_version"].asUInt64(), in["value"]);
    if (!version) {
        return std::unexpected{version.error()};
    }
    log_event(event::platform_row_written, "key=" + key + " version=" + std::to_string(*version));
    Json::Value out;
    out["version"] = static_cast<Json::UInt64>(*version);
    return out;
}

result<Json::Value> platform_service::table_transact(params in) {
    std::vector<row_precondition> checks;
    for (const auto& item : in["checks"]) {
        checks.push_back(row_precondition{item["key"].asString(), item["version"].asUInt64()});
    }
    std::vector<row_write> writes;
    for (const auto& item : in["puts"]) {
        writes.push_back(row_write{item["key"].asString(), item["value"]});
    }
    auto versions = m_table.transact(checks, writes);
    if (!versions) {
        return std::unexpected{versions.error()};
    }
    Json::Value out{Json::arrayValue};
    for (const auto version : *versions) {
        out.append(static_cast<Json::UInt64>(version));
    }
    return out;
}

result<Json::Value> platform_service::table_list(params in) {
    Json::Value out{Json::arrayValue};
    for (const auto& [key, version] : m_table.list(in["prefix"].asString())) {
        Json::Value item;
        item["key"] = key;
        item["version"] = static_cast<Json::UInt64>(version);
        out.append(item);
    }
    return out;
}

result<Json::Value> platform_service::object_put(params in) {
    if (!in["name"].isString() || !in["data"].isString()) {
        return fail(errc::bad_request, "object.put needs name and data");
    }
    m_objects[in["name"].asString()] = in["data"].asString();
    return Json::Value{Json::objectValue};
}

result<Json::Value> platform_service::object_get(params in) {
    const auto found = m_objects.find(in["name"].asString());
    if (found == m_objects.end()) {
        return fail(errc::not_found, "no object '" + in["name"].asString() + "'");
    }
    Json::Value out;
    out["data"] = found->second;
    return out;
}

result<Json::Value> platform_service::object_list(params in) {
    Json::Value out{Json::arrayValue};
    const auto prefix = in["prefix"].asString();
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        out.append(it->first);
    }
    return out;
}

result<Json::Value> platform_service::vms_set(params in) {
    vm_state state{};
    if (!in["address"].isString() || !parse_vm_state(in["state"].asString(), state)) {
        return fail(errc::bad_request, "vms.set needs address and state (live, leaving or gone)");
    }
    m_vm_list.set(in["address"].asString(), vm{state, in.get("kind", "backend").asString()}, vm_list::clock::now());
    return Json::Value{Json::objectValue};
}

result<Json::Value> platform_service::vms_list(params) {
    Json::Value out{Json::objectValue};
    for (const auto& [address, item] : m_vm_list.visible_at(vm_list::clock::now())) {
        out[address]["state"] = std::string{to_string(item.state)};
        out[address]["kind"] = item.kind;
    }
    return out;
}

result<Json::Value> platform_service::dump(params) {
    Json::Value out;
    out["role"] = "platform";
    out["faults"] = to_json(m_faults);
    for (const auto& [key, item] : m_table.rows()) {
        out["rows"][key]["version"] = static_cast<Json::UInt64>(item.version);
    }
    out["objects"] = static_cast<Json::UInt64>(m_objects.size());
    out["vms"] = *vms_list(Json::Value{});
    return out;
}

void platform_service::save_snapshot() {
    if (m_settings.snapshot.empty()) {
        return;
    }
    Json::Value out;
    for (const auto& [key, item] : m_table.rows()) {
        out["rows"][key]["version"] = static_cast<Json::UInt64>(item.version);
        out["rows"][key]["value"] = item.value;
    }
    for (const auto& [name, data] : m_objects) {
        out["objects"][name] = data;
    }
    const auto temporary = m_settings.snapshot.string() + ".new";
    {
        std::ofstream file{temporary, std::ios::trunc};
        file << rpc::to_text(out);
        if (!file) {
            log_event(event::platform_snapshot_failed, "path=" + temporary);
            return;
        }
    }
    std::error_code ec;
    std::filesystem::rename(temporary, m_settings.snapshot, ec);
    if (ec) {
        log_event(event::platform_snapshot_failed, "path=" + m_settings.snapshot.string());
    }
}

void platform_service::load_snapshot() {
    if (m_settings.snapshot.empty()) {
        return;
    }
    std::ifstream file{m_settings.snapshot};
    if (!file) {
        return;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = rpc::parse_json(text.str());
    if (!parsed) {
        log_event(event::platform_snapshot_failed, "path=" + m_settings.snapshot.string() + " reason=unreadable");
        return;
    }
    std::map<std::string, row, std::less<>> rows;
    for (const auto& key : (*parsed)["rows"].getMemberNames()) {
        const auto& item = (*parsed)["rows"][key];
        rows[key] = row{item["version"].asUInt64(), item["value"]};
    }
    m_table.restore(std::move(rows));
    for (const auto& name : (*parsed)["objects"].getMemberNames()) {
        m_objects[name] = (*parsed)["objects"][name].asString();
    }
}

} // namespace cornellever::standin
