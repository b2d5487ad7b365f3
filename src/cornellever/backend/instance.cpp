#include "cornellever/backend/instance.hpp"

#include <algorithm>

#include "cornellever/backend/client.hpp"
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
    , m_role{m_settings.starts_as}
    , m_term{m_settings.term}
    , m_heard_at{clock::now()}
    , m_complete_as_of{m_heard_at} {
    m_faults.lag = m_settings.lag;
}

void instance::bind(rpc::server& rpc) {
    const auto add = [&](std::string name, answer (instance::*call)(params, rpc::connection&)) {
        const bool between_instances = name == "replicate";
        rpc.on(std::move(name), [this, call, between_instances](params in, rpc::connection& conn) -> answer {
            if (m_faults.frozen || (m_faults.callers_cut && !between_instances)) {
                conn.stop_answering = true;
                return [](std::string who) -> answer {
                    co_return fail(errc::outcome_unknown, who + " is frozen");
                }(m_settings.name);
            }
            return (this->*call)(in, conn);
        });
    };
    add("execute", &instance::execute);
    add("begin", &instance::begin);
    add("commit", &instance::commit);
    add("rollback", &instance::rollback);
    add("terminate", &instance::terminate);
    add("await_received", &instance::await_received);
    add("find_entry", &instance::find_entry);
    add("replicate", &instance::replicate);
    add("quiesce", &instance::quiesce);
    add("fence", &instance::fence);
    add("promote", &instance::promote);
    add("status", &instance::status);
    add("dump", &instance::dump);
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
    auto as_of = m_complete_as_of;
    if (const auto* waiting = m_log.at(m_data.applied() + 1); waiting != nullptr) {
        as_of = std::min(as_of, waiting->received_at);
    }
    return std::chrono::milliseconds{millis_since(as_of)};
}

std::size_t instance::open_transactions() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_clients, [](const client* item) { return item->in_transaction; }));
}

Json::Value instance::essentials() const {
    Json::Value out;
    out["role"] = std::string{to_string(m_role)};
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["position"] = static_cast<Json::UInt64>(m_data.applied());
    out["staleness_ms"] = static_cast<Json::Int64>(staleness().count());
    out["heard_ms"] = static_cast<Json::Int64>(m_role == role::primary ? 0 : millis_since(m_heard_at));
    return out;
}

Json::Value instance::describe() const {
    Json::Value out = essentials();
    out["name"] = m_settings.name;
    out["received"] = static_cast<Json::UInt64>(m_log.last());
    out["received_term"] = static_cast<Json::UInt64>(m_log.end().term);
    out["connections"] = static_cast<Json::UInt64>(m_clients.size());
    out["transactions"] = static_cast<Json::UInt64>(open_transactions());
    out["statements"] = static_cast<Json::UInt64>(m_statements);
    out["faults"] = to_json(m_faults);
    return out;
}

instance::answer instance::status(params, rpc::connection&) {
    co_return essentials();
}

instance::answer instance::dump(params, rpc::connection&) {
    co_return describe();
}

instance::answer instance::set_fault(params in, rpc::connection& conn) {
    update(m_faults, in, conn.id);
    co_return describe();
}

} // namespace cornellever::backend
