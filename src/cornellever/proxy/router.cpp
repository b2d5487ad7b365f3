#include "cornellever/proxy/router.hpp"

#include <algorithm>

#include "cornellever/config/json.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto draining_retry_after = std::chrono::milliseconds{100};

/// Refuses a request without a request id if the service lists the request's kind as one that must not be repeated:
/// without an id, the proxy could not recognise a repeated request. Called before anything runs.
result<void> check_request_id(const config::service& service, const std::string& kind, const std::string& request_id) {
    if (request_id.empty() && std::ranges::find(service.non_repeatable, kind) != service.non_repeatable.end()) {
        return fail(errc::bad_request, "'" + kind + "' may not be repeated: give it a request_id");
    }
    return {};
}

} // namespace

router::router(asio::any_io_executor executor, std::string name, std::string zone, connection_limits limits)
    : m_name{std::move(name)}
    , m_zone{std::move(zone)}
    , m_backends{std::move(executor), limits}
    , m_reads{m_backends, m_zone}
    , m_writes{m_backends}
    , m_transactions{m_backends, m_writes} {}

void router::bind(rpc::server& rpc) {
    rpc.on("execute", [this](const Json::Value& in, rpc::connection& caller) { return execute(in, caller); });
    rpc.on("begin", [this](const Json::Value& in, rpc::connection& caller) { return begin(in, caller); });
    rpc.on("commit", [this](const Json::Value& in, rpc::connection& caller) { return finish(in, caller, true); });
    rpc.on("rollback", [this](const Json::Value& in, rpc::connection& caller) { return finish(in, caller, false); });
    rpc.on("config.current", [this](const Json::Value&, rpc::connection&) { return current_config(); });
    rpc.on("primary.heard", [this](const Json::Value& in, rpc::connection&) { return primary_reachable(in); });
    rpc.on("ready", [this](const Json::Value&, rpc::connection&) { return ready(); });
    rpc.on("dump", [this](const Json::Value&, rpc::connection&) -> answer { co_return describe(); });
}

void router::update(config::cluster config) {
    if (m_config.version != 0 && config.version <= m_config.version) {
        return;
    }
    m_config = std::move(config);
    m_backends.update(m_config);
}

result<config::service> router::admit(const std::string& service, const std::string& database, const std::string& kind,
                                      const std::string& request_id) const {
    if (m_config.version == 0) {
        return fail(errc::unavailable, "proxy " + m_name + " has no configuration yet");
    }
    const auto* found = config::find_service(m_config, service);
    if (found == nullptr) {
        return fail(errc::not_found, "no service '" + service + "'");
    }
    if (config::find_database(*found, database) == nullptr) {
        return fail(errc::not_found, "service '" + service + "' has no database '" + database + "'");
    }
    if (auto allowed = check_request_id(*found, kind, request_id); !allowed) {
        return std::unexpected{allowed.error()};
    }
    return *found;
}

answer router::execute(const Json::Value& in, rpc::connection& caller) {
    auto request = decode_execute(in);
    if (!request) {
        co_return std::unexpected{request.error()};
    }
    const auto until = clock::now() + request->deadline;
    if (!request->transaction.empty()) {
        co_return co_await m_transactions.execute(*request, caller, until);
    }
    const auto service = admit(request->service, request->database, request->kind, request->request_id);
    if (!service) {
        co_return std::unexpected{service.error()};
    }
    co_return co_await dispatch(*service, *request, until);
}

answer router::dispatch(const config::service& service, const execute_request& request, clock::time_point until) {
    const auto started = clock::now();
    if (request.mode == intent::read) {
        auto out = co_await m_reads.serve(service, request, until);
        m_read_latency.record(clock::now() - started);
        co_return out;
    }
    if (!request.request_id.empty()) {
        auto out = co_await m_writes.serve_idempotent(request, until);
        m_write_latency.record(clock::now() - started);
        co_return out;
    }
    auto out = co_await m_writes.serve(request, until);
    m_write_latency.record(clock::now() - started);
    co_return out;
}

answer router::begin(const Json::Value& in, rpc::connection& caller) {
    auto request = decode_begin(in);
    if (!request) {
        co_return std::unexpected{request.error()};
    }
    if (m_draining) {
        co_return fail_with_retry_after(errc::unavailable, "proxy " + m_name + " is stopping: begin on another",
                                        draining_retry_after);
    }
    const auto service = admit(request->service, request->database, request->kind, request->request_id);
    if (!service) {
        co_return std::unexpected{service.error()};
    }
    co_return co_await m_transactions.begin(*service, *request, caller, clock::now() + request->deadline);
}

answer router::finish(const Json::Value& in, rpc::connection& caller, bool commit) {
    auto request = decode_finish(in);
    if (!request) {
        co_return std::unexpected{request.error()};
    }
    const auto until = clock::now() + default_request_deadline;
    if (commit) {
        co_return co_await m_transactions.commit(*request, caller, until);
    }
    co_return co_await m_transactions.rollback(*request, caller, until);
}

answer router::current_config() {
    if (m_config.version == 0) {
        co_return fail(errc::not_found, "proxy " + m_name + " has no configuration yet");
    }
    Json::Value out;
    out["version"] = static_cast<Json::UInt64>(m_config.version);
    out["value"] = config::to_json(m_config);
    co_return out;
}

answer router::primary_reachable(const Json::Value& in) {
    const auto* primary = m_backends.known_instances().primary(rpc::text_field(in, "service"),
                                                               rpc::text_field(in, "database"), clock::now());
    Json::Value out;
    out["heard"] = primary != nullptr;
    co_return out;
}

answer router::ready() {
    if (m_draining || m_config.version == 0) {
        co_return fail(errc::unavailable, m_draining ? "stopping" : "no configuration yet");
    }
    Json::Value out;
    out["ready"] = true;
    co_return out;
}

Json::Value router::describe() const {
    Json::Value out = m_reads.describe();
    out["role"] = "proxy";
    out["name"] = m_name;
    out["zone"] = m_zone;
    out["draining"] = m_draining;
    out["config_version"] = static_cast<Json::UInt64>(m_config.version);
    out["instances"] = m_backends.known_instances().describe(clock::now());
    out["links"] = m_backends.describe();
    out["transactions_open"] = static_cast<Json::UInt64>(m_transactions.open());
    out["latency"]["write"] = m_write_latency.describe();
    out["latency"]["read"] = m_read_latency.describe();
    return out;
}

} // namespace cornellever::proxy
