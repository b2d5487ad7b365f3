#include "cornellever/backend/instance.hpp"

#include <algorithm>

#include "cornellever/backend/connection_context.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::backend {

namespace {

std::string_view to_string(role value) {
    return value == role::primary ? "primary" : "replica";
}

std::int64_t millis_since(std::chrono::steady_clock::time_point then) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - then).count();
}

} // namespace

result<std::unique_ptr<instance>> instance::create(asio::any_io_executor executor, instance_settings settings) {
    auto data = database::create(settings.folder, settings.scripts);
    if (!data) {
        return std::unexpected{data.error()};
    }
    return std::unique_ptr<instance>{new instance{std::move(executor), std::move(settings), std::move(*data)}};
}

instance::instance(asio::any_io_executor executor, instance_settings settings, database data)
    : m_executor{std::move(executor)}
    , m_settings{std::move(settings)}
    , m_data{std::move(data)}
    , m_role{m_settings.initial_role}
    , m_term{m_settings.term}
    , m_primary_contact_at{clock::now()}
    , m_received_all_at{m_primary_contact_at} {
    m_faults.replication_lag = m_settings.replication_lag;
}

void instance::bind(rpc::server& rpc) {
    const auto add_method = [&](std::string name, answer (instance::*call)(params, rpc::connection&)) {
        const bool is_replication = name == "replicate";
        rpc.on(std::move(name), [this, call, is_replication](params in, rpc::connection& conn) -> answer {
            if (m_faults.frozen || (m_faults.caller_traffic_blocked && !is_replication)) {
                conn.stop_answering = true;
                return [](std::string instance_name) -> answer {
                    co_return fail(errc::outcome_unknown, instance_name + " is frozen");
                }(m_settings.name);
            }
            return (this->*call)(in, conn);
        });
    };
    add_method("execute", &instance::execute);
    add_method("begin", &instance::begin);
    add_method("commit", &instance::commit);
    add_method("rollback", &instance::rollback);
    add_method("terminate", &instance::terminate);
    add_method("await_received", &instance::await_received);
    add_method("find_entry", &instance::find_entry);
    add_method("replicate", &instance::replicate);
    add_method("quiesce", &instance::quiesce);
    add_method("fence", &instance::fence);
    add_method("promote", &instance::promote);
    add_method("status", &instance::status);
    add_method("dump", &instance::dump);
    rpc.on("fault.set", [this](params in, rpc::connection& conn) { return set_fault(in, conn); });
}

void instance::start() {
    asio::co_spawn(m_executor, apply_received(), asio::detached);
    if (m_role == role::primary) {
        start_shipping();
    }
}

std::chrono::milliseconds instance::staleness() const {
    if (m_role == role::primary) {
        return std::chrono::milliseconds{0};
    }
    auto as_of = m_received_all_at;
    if (const auto* next_to_apply = m_log.at(m_data.applied_position() + 1); next_to_apply != nullptr) {
        as_of = std::min(as_of, next_to_apply->received_at);
    }
    return std::chrono::milliseconds{millis_since(as_of)};
}

std::size_t instance::open_transactions() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connections, [](const connection_context* item) { return item->in_transaction; }));
}

Json::Value instance::heartbeat_status() const {
    Json::Value out;
    out["role"] = std::string{to_string(m_role)};
    out["term"] = static_cast<Json::UInt64>(m_term);
    const auto* last_applied = m_log.at(m_data.applied_position());
    out["position"] = static_cast<Json::UInt64>(m_data.applied_position());
    out["position_term"] = static_cast<Json::UInt64>(last_applied == nullptr ? 0 : last_applied->term);
    out["staleness_ms"] = static_cast<Json::Int64>(staleness().count());
    out["heard_ms"] = static_cast<Json::Int64>(m_role == role::primary ? 0 : millis_since(m_primary_contact_at));
    return out;
}

Json::Value instance::describe() const {
    Json::Value out = heartbeat_status();
    out["name"] = m_settings.name;
    out["received"] = static_cast<Json::UInt64>(m_log.last());
    out["received_term"] = static_cast<Json::UInt64>(m_log.end().term);
    out["connections"] = static_cast<Json::UInt64>(m_connections.size());
    out["transactions"] = static_cast<Json::UInt64>(open_transactions());
    out["statements"] = static_cast<Json::UInt64>(m_statements);
    out["faults"] = to_json(m_faults);
    return out;
}

instance::answer instance::status(params, rpc::connection&) {
    co_return heartbeat_status();
}

instance::answer instance::dump(params, rpc::connection&) {
    co_return describe();
}

instance::answer instance::set_fault(params in, rpc::connection& conn) {
    update(m_faults, in, conn.id);
    co_return describe();
}

} // namespace cornellever::backend
