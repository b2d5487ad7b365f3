#include "cornellever/proxy/backend_connections.hpp"

#include <algorithm>
#include <vector>

#include "cornellever/core/quorum.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto primary_poll_interval = std::chrono::milliseconds{10};
/// A replaced primary counts as unresponsive if its last successful heartbeat is longer ago than this.
constexpr auto unresponsive_after = std::chrono::milliseconds{400};
constexpr auto primary_retry_after = std::chrono::milliseconds{1000};

} // namespace

backend_connections::backend_connections(asio::any_io_executor executor, connection_limits limits)
    : m_executor{std::move(executor)}
    , m_limits{limits}
    , m_confirmer{m_executor} {}

void backend_connections::update(const config::cluster& config) {
    m_topology.reset(config);
    m_topology.set_leaving(m_leaving, clock::now());
    resize_pools();
}

void backend_connections::record(const heartbeat& report) {
    const auto* before = m_topology.find(report.key);
    const bool was_primary = before != nullptr && before->primary && before->term >= report.term;
    m_topology.record(report, clock::now());
    if (report.answered && report.primary && !was_primary) {
        if (const auto* new_primary = m_topology.find(report.key); new_primary != nullptr) {
            disconnect_replaced(*new_primary);
        }
    }
}

void backend_connections::disconnect_replaced(const instance_view& new_primary) {
    const auto now = clock::now();
    for (const auto* member : m_topology.members(new_primary.service, new_primary.database)) {
        const bool unresponsive = member->refused || now - member->last_heartbeat_at > unresponsive_after;
        const auto found = m_pools.find(member->key);
        if (member->key != new_primary.key && member->term < new_primary.term && unresponsive &&
            found != m_pools.end()) {
            found->second->close_in_use();
        }
    }
}

void backend_connections::set_vms(const std::set<std::string, std::less<>>& leaving, std::size_t proxies) {
    m_leaving = leaving;
    m_topology.set_leaving(leaving, clock::now());
    m_proxies = std::max<std::size_t>(proxies, 1);
    resize_pools();
}

std::size_t backend_connections::connection_share(const instance_view& target) const {
    // Each proxy uses an equal share of the instance's connections, but at least one, so that all proxies together stay
    // within the instance's limit as long as the limit is not below the number of proxies.
    return std::max<std::size_t>(static_cast<std::size_t>(target.connections) / m_proxies, 1);
}

void backend_connections::resize_pools() {
    for (const auto& [key, view] : m_topology.instances()) {
        if (const auto found = m_pools.find(key); found != m_pools.end()) {
            found->second->resize(connection_share(view));
            found->second->retire(view.leaving_since.has_value());
        }
    }
}

pool& backend_connections::pool_for(const instance_view& target) {
    auto& slot = m_pools[target.key];
    if (!slot) {
        slot = std::make_unique<pool>(m_executor, target.address, connection_share(target));
    }
    return *slot;
}

asio::awaitable<result<instance_view>> backend_connections::await_primary(std::string_view service,
                                                                          std::string_view database,
                                                                          clock::time_point until,
                                                                          std::uint64_t min_term) {
    const auto find_primary = [&] {
        const auto* primary = m_topology.primary(service, database, clock::now());
        return primary != nullptr && primary->term >= min_term ? primary : nullptr;
    };
    const auto refusal = [&] {
        return fail_with_retry_after(errc::unavailable, "no primary answers for " + database_key(service, database),
                                     primary_retry_after);
    };
    if (const auto* primary = find_primary(); primary != nullptr) {
        co_return *primary;
    }
    if (m_primary_waiters >= m_limits.max_primary_waiters) {
        co_return refusal();
    }
    scoped_increment waiting{m_primary_waiters};
    while (clock::now() < until) {
        co_await sleep_for(primary_poll_interval);
        if (const auto* primary = find_primary(); primary != nullptr) {
            co_return *primary;
        }
    }
    co_return refusal();
}

asio::awaitable<result<pooled_connection>> backend_connections::acquire(const instance_view& target,
                                                                        std::chrono::milliseconds wait) {
    auto& owner = pool_for(target);
    auto checked_out = co_await owner.acquire(wait);
    if (!checked_out) {
        co_return std::unexpected{checked_out.error()};
    }
    co_return pooled_connection{owner, std::move(*checked_out)};
}

asio::awaitable<result<pooled_connection>> backend_connections::begin(const instance_view& target,
                                                                      clock::time_point until,
                                                                      std::chrono::milliseconds attempt_deadline) {
    auto acquired = co_await acquire(target, std::min(m_limits.pool_wait, time_left(until)));
    if (!acquired) {
        co_return acquired;
    }
    Json::Value payload;
    payload["term"] = static_cast<Json::UInt64>(target.term);
    auto begun = co_await call_on(*acquired, "begin", payload, std::min(attempt_deadline, time_left(until)));
    if (begun) {
        acquired->set_open_transaction(rpc::uint_field(*begun, "session"));
        co_return acquired;
    }
    acquired->release();
    if (guarantees_not_executed(begun.error().code)) {
        co_return std::unexpected{begun.error()};
    }
    co_return fail(errc::unavailable, begun.error().message);
}

asio::awaitable<result<Json::Value>> backend_connections::call_on(const pooled_connection& connection,
                                                                  std::string_view method, const Json::Value& payload,
                                                                  std::chrono::milliseconds deadline) {
    const auto until = clock::now() + deadline;
    auto out = co_await connection->call(method, payload, deadline);
    if (!out && !connection->usable() && clock::now() >= until) {
        connection.owner().close_idle();
    }
    co_return out;
}

asio::awaitable<void> backend_connections::roll_back(pooled_connection& connection,
                                                     std::chrono::milliseconds deadline) {
    auto undone = co_await call_on(connection, "rollback", Json::Value{Json::objectValue}, deadline);
    if (undone) {
        connection.release();
    } else {
        connection.discard();
    }
}

asio::awaitable<result<Json::Value>> backend_connections::call(const instance_view& target, std::string_view method,
                                                               const Json::Value& payload,
                                                               std::chrono::milliseconds pool_wait,
                                                               std::chrono::milliseconds deadline) {
    auto connection = co_await acquire(target, pool_wait);
    if (!connection) {
        co_return std::unexpected{connection.error()};
    }
    auto out = co_await call_on(*connection, method, payload, deadline);
    if (out && out->isObject() && (*out)["in_transaction"].isBool() && (*out)["in_transaction"].asBool()) {
        // The SQL text of the statement opened a transaction. If the connection were returned to the pool, the next
        // request on it would run inside that transaction.
        connection->discard();
        co_return fail(errc::bad_request, "the statement opened a transaction, which was undone: use 'begin'");
    }
    connection->release();
    co_return out;
}

asio::awaitable<result<void>> backend_connections::confirm(const instance_view& primary, term_position entry,
                                                           std::chrono::milliseconds wait) {
    std::vector<confirming_replica> replicas;
    for (const auto* member : m_topology.members(primary.service, primary.database)) {
        if (member->key != primary.key) {
            replicas.push_back(confirming_replica{member->key, member->address});
        }
    }
    co_return co_await m_confirmer.confirm(replicas, entry, required_replica_acks(replicas.size() + 1), wait);
}

Json::Value backend_connections::describe() const {
    Json::Value out;
    for (const auto& [key, item] : m_pools) {
        out["pools"][key] = item->describe();
    }
    out["proxies_sharing"] = static_cast<Json::UInt64>(m_proxies);
    out["waiting_for_primary"] = static_cast<Json::UInt64>(m_primary_waiters);
    return out;
}

} // namespace cornellever::proxy
