#include "cornellever/proxy/router.hpp"

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

using clock = std::chrono::steady_clock;

/// Most replicas tried for one read before it goes to the primary.
constexpr std::size_t max_replica_tries = 2;

Json::Value served_by(const instance_view& target) {
    Json::Value out;
    out["instance"] = target.key;
    out["role"] = target.primary ? "primary" : "replica";
    out["zone"] = target.zone;
    return out;
}

Json::Value statement_answer(const Json::Value& backend, const session_token& token, const instance_view& target) {
    Json::Value out;
    out["columns"] = backend["columns"];
    out["rows"] = backend["rows"];
    out["changes"] = backend["changes"];
    out["session"] = to_json(token);
    out["served_by"] = served_by(target);
    return out;
}

} // namespace

router::router(asio::any_io_executor executor, std::string name, std::string zone, traffic_limits limits)
    : m_executor{std::move(executor)}
    , m_name{std::move(name)}
    , m_zone{std::move(zone)}
    , m_limits{limits} {}

void router::bind(rpc::server& rpc) {
    rpc.on("execute", [this](params in, rpc::connection& conn) { return execute(in, conn); });
    rpc.on("begin", [this](params in, rpc::connection& conn) { return begin(in, conn); });
    rpc.on("commit", [this](params in, rpc::connection&) { return finish(in, true); });
    rpc.on("rollback", [this](params in, rpc::connection&) { return finish(in, false); });
    rpc.on("dump", [this](params, rpc::connection&) -> answer { co_return describe(); });
}

void router::update(config::cluster config) {
    if (m_config.version != 0 && config.version <= m_config.version) {
        return;
    }
    m_config = std::move(config);
    m_topology.reset(m_config);
    for (const auto& [key, view] : m_topology.instances()) {
        const auto found = m_pools.find(key);
        if (found != m_pools.end()) {
            found->second->resize(static_cast<std::size_t>(view.connections));
        }
    }
}

void router::record(const heartbeat& beat) {
    m_topology.record(beat, clock::now());
}

result<const config::service*> router::service_of(std::string_view name) const {
    if (m_config.version == 0) {
        return fail(errc::unavailable, "proxy " + m_name + " has no configuration yet");
    }
    const auto* found = config::find_service(m_config, name);
    if (found == nullptr) {
        return fail(errc::not_found, "no service '" + std::string{name} + "'");
    }
    return found;
}

pool& router::pool_of(const instance_view& target) {
    auto& slot = m_pools[target.key];
    if (!slot) {
        slot = std::make_unique<pool>(m_executor, target.address, static_cast<std::size_t>(target.connections));
    }
    return *slot;
}

Json::Value router::statement_payload(const execute_request& request) {
    Json::Value out;
    out["sql"] = request.sql;
    out["params"] = request.params;
    return out;
}

router::answer router::call(const instance_view& target, std::string_view method, const Json::Value& payload,
                            std::chrono::milliseconds pool_wait) {
    auto& connections = pool_of(target);
    auto lease = co_await connections.acquire(pool_wait);
    if (!lease) {
        co_return std::unexpected{lease.error()};
    }
    auto out = co_await (*lease)->call(method, payload, m_limits.call_deadline);
    connections.release(std::move(*lease));
    co_return out;
}

router::answer router::execute(params in, rpc::connection&) {
    auto request = decode_execute(in);
    if (!request) {
        co_return std::unexpected{request.error()};
    }
    if (!request->transaction.empty()) {
        co_return co_await in_transaction(*request);
    }
    auto owner = service_of(request->service);
    if (!owner) {
        co_return std::unexpected{owner.error()};
    }
    if (config::find_database(**owner, request->database) == nullptr) {
        co_return fail(errc::not_found,
                       "service '" + request->service + "' has no database '" + request->database + "'");
    }
    const auto started = clock::now();
    if (request->mode == intent::read) {
        auto out = co_await read(*request);
        m_read_latency.record(clock::now() - started);
        co_return out;
    }
    auto out = co_await on_primary(*request);
    m_write_latency.record(clock::now() - started);
    co_return out;
}

router::answer router::read(const execute_request& request) {
    ++m_reads;
    const auto key = database_key(request.service, request.database);
    const auto mark = request.session.mark_of(key);
    const auto* owner = config::find_service(m_config, request.service);
    auto candidates = m_topology.replicas(request.service, request.database, mark.position, m_zone, clock::now());
    if (candidates.size() > max_replica_tries) {
        candidates.resize(max_replica_tries);
    }
    for (const auto* replica : candidates) {
        auto payload = statement_payload(request);
        payload["min_position"] = static_cast<Json::UInt64>(mark.position);
        payload["max_staleness_ms"] = static_cast<Json::Int64>(owner->max_staleness.count());
        const auto target = *replica;
        auto out = co_await call(target, "execute", payload, m_limits.replica_pool_wait);
        if (out) {
            ++m_replica_reads;
            co_return statement_answer(*out, request.session, target);
        }
        if (out.error().code == errc::bad_request) {
            co_return std::unexpected{out.error()};
        }
        // A replica that is behind, busy or gone refused before running the
        // read, and a read changes nothing: the primary can answer instead.
        log_event(event::replica_fallback,
                  "instance=" + target.key + " reason=" + std::string{to_string(out.error().code)});
    }
    ++m_fallbacks;
    co_return co_await on_primary(request);
}

router::answer router::on_primary(const execute_request& request) {
    const auto* primary = m_topology.primary(request.service, request.database, clock::now());
    if (primary == nullptr) {
        co_return fail(errc::unavailable, "no primary is known for " + database_key(request.service, request.database));
    }
    const auto target = *primary;
    auto payload = statement_payload(request);
    payload["term"] = static_cast<Json::UInt64>(target.term);
    auto out = co_await call(target, "execute", payload, m_limits.pool_wait);
    if (!out) {
        co_return std::unexpected{out.error()};
    }
    auto token = request.session;
    if (request.mode == intent::write) {
        token.advance(database_key(request.service, request.database),
                      write_mark{(*out)["term"].asUInt64(), (*out)["position"].asUInt64()});
    }
    co_return statement_answer(*out, token, target);
}

router::answer router::begin(params in, rpc::connection&) {
    auto owner = service_of(in.get("service", "").asString());
    if (!owner) {
        co_return std::unexpected{owner.error()};
    }
    const auto service = in["service"].asString();
    const auto database = in.get("database", "").asString();
    const auto* primary = m_topology.primary(service, database, clock::now());
    if (primary == nullptr) {
        co_return fail(errc::unavailable, "no primary is known for " + database_key(service, database));
    }
    const auto target = *primary;
    auto& connections = pool_of(target);
    auto lease = co_await connections.acquire(m_limits.pool_wait);
    if (!lease) {
        co_return std::unexpected{lease.error()};
    }
    Json::Value payload;
    payload["term"] = static_cast<Json::UInt64>(target.term);
    auto opened = co_await (*lease)->call("begin", payload, m_limits.call_deadline);
    if (!opened) {
        connections.release(std::move(*lease));
        co_return std::unexpected{opened.error()};
    }
    const auto id = m_name + "-" + std::to_string(m_next_transaction++);
    m_transactions.emplace(id, pinned{database_key(service, database), target.key, std::move(*lease), clock::now()});
    Json::Value out;
    out["transaction"] = id;
    out["session"] = in.isMember("session") ? in["session"] : Json::Value{Json::objectValue};
    out["served_by"] = served_by(target);
    co_return out;
}

router::answer router::in_transaction(const execute_request& request) {
    const auto found = m_transactions.find(request.transaction);
    if (found == m_transactions.end()) {
        co_return fail(errc::not_run, "transaction " + request.transaction + " is not open on proxy " + m_name +
                                          ": it ended, was rolled back, or belongs to another proxy");
    }
    auto& held = found->second;
    if (held.busy) {
        co_return fail(errc::busy, "transaction " + request.transaction + " is running another statement");
    }
    held.busy = true;
    auto out = co_await held.connection->call("execute", statement_payload(request), m_limits.call_deadline);
    held.busy = false;
    held.last_used = clock::now();
    if (!out && !held.connection->usable()) {
        // The connection is in doubt, so it is closed, and a backend rolls
        // back a transaction whose connection closed: nothing of it commits.
        auto& connections = *m_pools.at(held.instance);
        connections.discard(std::move(held.connection));
        m_transactions.erase(found);
        co_return fail(errc::not_run, "transaction " + request.transaction +
                                          " was rolled back: its connection failed (" + out.error().message + ")");
    }
    if (!out) {
        co_return std::unexpected{out.error()};
    }
    Json::Value answer;
    answer["columns"] = (*out)["columns"];
    answer["rows"] = (*out)["rows"];
    answer["changes"] = (*out)["changes"];
    answer["transaction"] = request.transaction;
    answer["session"] = to_json(request.session);
    co_return answer;
}

router::answer router::finish(params in, bool commit) {
    const auto id = in.get("transaction", "").asString();
    auto token = token_from_json(in["session"]);
    if (!token) {
        co_return std::unexpected{token.error()};
    }
    const auto found = m_transactions.find(id);
    if (found == m_transactions.end()) {
        co_return fail(errc::not_run, "transaction " + id + " is not open on proxy " + m_name);
    }
    if (found->second.busy) {
        co_return fail(errc::busy, "transaction " + id + " is running a statement");
    }
    auto held = std::move(found->second);
    m_transactions.erase(found);
    auto out = co_await held.connection->call(commit ? "commit" : "rollback", Json::Value{Json::objectValue},
                                              m_limits.call_deadline);
    m_pools.at(held.instance)->release(std::move(held.connection));
    if (!out) {
        co_return std::unexpected{out.error()};
    }
    if (commit) {
        token->advance(held.database, write_mark{(*out)["term"].asUInt64(), (*out)["position"].asUInt64()});
    }
    Json::Value answer;
    answer["session"] = to_json(*token);
    co_return answer;
}

void router::sweep_abandoned() {
    const auto now = clock::now();
    for (auto it = m_transactions.begin(); it != m_transactions.end();) {
        if (it->second.busy || now - it->second.last_used < m_limits.transaction_idle) {
            ++it;
            continue;
        }
        // A caller that vanished mid-transaction: closing the pinned
        // connection makes the backend roll back before it is reused.
        log_event(event::transaction_abandoned, "transaction=" + it->first + " instance=" + it->second.instance);
        m_pools.at(it->second.instance)->discard(std::move(it->second.connection));
        it = m_transactions.erase(it);
    }
}

Json::Value router::describe() const {
    Json::Value out;
    out["role"] = "proxy";
    out["name"] = m_name;
    out["zone"] = m_zone;
    out["config_version"] = static_cast<Json::UInt64>(m_config.version);
    out["instances"] = m_topology.describe(clock::now());
    for (const auto& [key, item] : m_pools) {
        out["pools"][key] = item->describe();
    }
    out["transactions_open"] = static_cast<Json::UInt64>(m_transactions.size());
    out["reads"] = static_cast<Json::UInt64>(m_reads);
    out["replica_reads"] = static_cast<Json::UInt64>(m_replica_reads);
    out["replica_fallbacks"] = static_cast<Json::UInt64>(m_fallbacks);
    out["latency"]["write"] = m_write_latency.describe();
    out["latency"]["read"] = m_read_latency.describe();
    return out;
}

} // namespace cornellever::proxy
