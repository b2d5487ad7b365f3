#include "cornellever/proxy/backend_links.hpp"

#include <algorithm>
#include <vector>

#include "cornellever/core/quorum.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto primary_poll = std::chrono::milliseconds{10};
/// An instance not heard for this long counts as silent once replaced.
constexpr auto silent_after = std::chrono::milliseconds{400};
constexpr auto primary_retry_after = std::chrono::milliseconds{1000};

} // namespace

backend_links::backend_links(asio::any_io_executor executor, link_limits limits)
    : m_executor{std::move(executor)}
    , m_limits{limits}
    , m_confirmer{m_executor} {}

void backend_links::update(const config::cluster& config) {
    m_topology.reset(config);
    m_topology.set_leaving(m_leaving, clock::now());
    resize_pools();
}

void backend_links::record(const heartbeat& beat) {
    const auto* before = m_topology.find(beat.key);
    const bool led = before != nullptr && before->primary && before->term >= beat.term;
    m_topology.record(beat, clock::now());
    if (beat.answered && beat.primary && !led) {
        if (const auto* leader = m_topology.find(beat.key); leader != nullptr) {
            cut_replaced(*leader);
        }
    }
}

void backend_links::cut_replaced(const instance_view& leader) {
    const auto now = clock::now();
    for (const auto* member : m_topology.members(leader.service, leader.database)) {
        const bool silent = member->refused || now - member->last_heard > silent_after;
        const auto found = m_pools.find(member->key);
        if (member->key != leader.key && member->term < leader.term && silent && found != m_pools.end()) {
            found->second->break_in_use();
        }
    }
}

void backend_links::set_machines(const std::set<std::string, std::less<>>& leaving, std::size_t proxies) {
    m_leaving = leaving;
    m_topology.set_leaving(leaving, clock::now());
    m_proxies = std::max<std::size_t>(proxies, 1);
    resize_pools();
}

std::size_t backend_links::share_of(const instance_view& target) const {
    // Every proxy takes its share of the instance's connections, so that
    // together they never ask for more than it has.
    return std::max<std::size_t>(static_cast<std::size_t>(target.connections) / m_proxies, 1);
}

void backend_links::resize_pools() {
    for (const auto& [key, view] : m_topology.instances()) {
        if (const auto found = m_pools.find(key); found != m_pools.end()) {
            found->second->resize(share_of(view));
            found->second->retire(view.leaving_since.has_value());
        }
    }
}

pool& backend_links::pool_of(const instance_view& target) {
    auto& slot = m_pools[target.key];
    if (!slot) {
        slot = std::make_unique<pool>(m_executor, target.address, share_of(target));
    }
    return *slot;
}

asio::awaitable<result<instance_view>> backend_links::await_primary(std::string_view service, std::string_view database,
                                                                    clock::time_point until, std::uint64_t min_term) {
    const auto leader = [&] {
        const auto* now = m_topology.primary(service, database, clock::now());
        return now != nullptr && now->term >= min_term ? now : nullptr;
    };
    const auto refusal = [&] {
        return fail_with_retry_after(errc::unavailable, "no primary answers for " + database_key(service, database),
                                     primary_retry_after);
    };
    if (const auto* now = leader(); now != nullptr) {
        co_return *now;
    }
    if (m_primary_waiters >= m_limits.max_primary_waiters) {
        co_return refusal();
    }
    scoped_increment waiting{m_primary_waiters};
    while (clock::now() < until) {
        co_await sleep_for(primary_poll);
        if (const auto* now = leader(); now != nullptr) {
            co_return *now;
        }
    }
    co_return refusal();
}

asio::awaitable<result<pooled_connection>> backend_links::acquire(const instance_view& target,
                                                                  std::chrono::milliseconds wait) {
    auto& owner = pool_of(target);
    auto lease = co_await owner.acquire(wait);
    if (!lease) {
        co_return std::unexpected{lease.error()};
    }
    co_return pooled_connection{owner, std::move(*lease)};
}

asio::awaitable<result<pooled_connection>> backend_links::begin(const instance_view& target, clock::time_point until,
                                                                std::chrono::milliseconds try_deadline) {
    auto acquired = co_await acquire(target, std::min(m_limits.pool_wait, time_left(until)));
    if (!acquired) {
        co_return acquired;
    }
    Json::Value payload;
    payload["term"] = static_cast<Json::UInt64>(target.term);
    auto begun = co_await call_on(*acquired, "begin", payload, std::min(try_deadline, time_left(until)));
    if (begun) {
        acquired->in_transaction_of(rpc::uint_field(*begun, "session"));
        co_return acquired;
    }
    acquired->release();
    if (guarantees_not_executed(begun.error().code)) {
        co_return std::unexpected{begun.error()};
    }
    co_return fail(errc::unavailable, begun.error().message);
}

asio::awaitable<result<Json::Value>> backend_links::call_on(const pooled_connection& connection,
                                                            std::string_view method, const Json::Value& payload,
                                                            std::chrono::milliseconds deadline) {
    const auto until = clock::now() + deadline;
    auto out = co_await connection->call(method, payload, deadline);
    if (!out && !connection->usable() && clock::now() >= until) {
        connection.owner().suspect_idle();
    }
    co_return out;
}

asio::awaitable<void> backend_links::undo(pooled_connection& connection, std::chrono::milliseconds deadline) {
    auto undone = co_await call_on(connection, "rollback", Json::Value{Json::objectValue}, deadline);
    if (undone) {
        connection.release();
    } else {
        connection.discard();
    }
}

asio::awaitable<result<Json::Value>> backend_links::call(const instance_view& target, std::string_view method,
                                                         const Json::Value& payload,
                                                         std::chrono::milliseconds pool_wait,
                                                         std::chrono::milliseconds deadline) {
    auto connection = co_await acquire(target, pool_wait);
    if (!connection) {
        co_return std::unexpected{connection.error()};
    }
    auto out = co_await call_on(*connection, method, payload, deadline);
    if (out && out->isObject() && (*out)["in_transaction"].isBool() && (*out)["in_transaction"].asBool()) {
        // The caller's text itself opened a transaction. Released so, the
        // connection's next caller would write into it.
        connection->discard();
        co_return fail(errc::bad_request, "the statement opened a transaction, which was undone: use 'begin'");
    }
    connection->release();
    co_return out;
}

asio::awaitable<result<void>> backend_links::confirm(const instance_view& primary, write_mark mark,
                                                     std::chrono::milliseconds wait) {
    std::vector<confirming_replica> replicas;
    for (const auto* member : m_topology.members(primary.service, primary.database)) {
        if (member->key != primary.key) {
            replicas.push_back(confirming_replica{member->key, member->address});
        }
    }
    co_return co_await m_confirmer.confirm(replicas, mark, required_replica_acks(replicas.size() + 1), wait);
}

Json::Value backend_links::describe() const {
    Json::Value out;
    for (const auto& [key, item] : m_pools) {
        out["pools"][key] = item->describe();
    }
    out["proxies_sharing"] = static_cast<Json::UInt64>(m_proxies);
    out["waiting_for_primary"] = static_cast<Json::UInt64>(m_primary_waiters);
    return out;
}

} // namespace cornellever::proxy
