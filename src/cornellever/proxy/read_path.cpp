#include "cornellever/proxy/read_path.hpp"

#include <algorithm>
#include <vector>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

/// Maximum number of replicas tried in one round.
constexpr std::size_t max_replica_attempts = 2;

/// Pause between rounds while waiting for a replica to catch up (`catch_up_poll_interval`), and before a read is sent
/// to the primary again after a failed attempt (`primary_retry_pause`).
constexpr auto catch_up_poll_interval = std::chrono::milliseconds{5};
constexpr auto primary_retry_pause = std::chrono::milliseconds{20};

/// Time after which a read without a response is sent again, to another instance or to the primary. This is safe
/// because a read changes nothing and may run twice.
constexpr auto attempt_deadline = std::chrono::milliseconds{1000};

/// Whether the error is caused by the statement itself and so would be the same on every instance.
bool is_statement_error(const error& failure) {
    return failure.code == errc::bad_request || failure.code == errc::conflict;
}

} // namespace

answer read_path::serve(const config::service& service, const execute_request& request, clock::time_point until) {
    ++m_reads;
    const auto wait_until = std::min(clock::now() + service.replica_wait, until);
    const bool wrote = request.session.last_write_to(database_key(request.service, request.database)).position > 0;
    for (;;) {
        auto out = co_await try_replicas(service, request, until);
        if (!out || !out->isNull()) {
            co_return out;
        }
        // A session that has not written to this database has no write that a replica would have to catch up with, so
        // waiting would not help.
        if (!wrote || clock::now() + catch_up_poll_interval >= wait_until) {
            break;
        }
        co_await sleep_for(catch_up_poll_interval);
    }
    ++m_fallbacks;
    co_return co_await serve_from_primary(request, until);
}

answer read_path::try_replicas(const config::service& service, const execute_request& request,
                               clock::time_point until) {
    const auto key = database_key(request.service, request.database);
    const auto last_write = request.session.last_write_to(key);
    auto payload = statement_payload(request);
    payload["min_position"] = static_cast<Json::UInt64>(last_write.position);
    payload["min_term"] = static_cast<Json::UInt64>(last_write.term);
    payload["max_staleness_ms"] = static_cast<Json::Int64>(service.max_staleness.count());
    std::vector<instance_view> candidates;
    for (const auto* view :
         m_backends.known_instances().replicas(request.service, request.database, last_write, m_zone, clock::now())) {
        if (candidates.size() < max_replica_attempts) {
            candidates.push_back(*view);
        }
    }
    for (const auto& replica : candidates) {
        auto out = co_await m_backends.call(replica, "execute", payload, m_backends.limits().replica_pool_wait,
                                            std::min(attempt_deadline, time_left(until)));
        if (out) {
            ++m_replica_reads;
            co_return statement_answer(*out, request.session, replica);
        }
        if (is_statement_error(out.error())) {
            co_return std::unexpected{out.error()};
        }
        log_event(event::replica_fallback,
                  "instance=" + replica.key + " reason=" + std::string{to_string(out.error().code)});
    }
    co_return Json::Value{};
}

answer read_path::serve_from_primary(const execute_request& request, clock::time_point until) {
    const auto last_write = request.session.last_write_to(database_key(request.service, request.database));
    auto payload = statement_payload(request);
    payload["min_term"] = static_cast<Json::UInt64>(last_write.term);
    for (;;) {
        auto target = co_await m_backends.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        payload["term"] = static_cast<Json::UInt64>(target->term);
        auto out = co_await m_backends.call(*target, "execute", payload,
                                            std::min(m_backends.limits().pool_wait, time_left(until)),
                                            std::min(attempt_deadline, time_left(until)));
        if (out) {
            co_return statement_answer(*out, request.session, *target);
        }
        const bool retryable = is_retryable(out.error()) || out.error().code == errc::outcome_unknown;
        if (!retryable || clock::now() + primary_retry_pause >= until) {
            co_return std::unexpected{out.error()};
        }
        co_await sleep_for(primary_retry_pause);
    }
}

Json::Value read_path::describe() const {
    Json::Value out;
    out["reads"] = static_cast<Json::UInt64>(m_reads);
    out["replica_reads"] = static_cast<Json::UInt64>(m_replica_reads);
    out["replica_fallbacks"] = static_cast<Json::UInt64>(m_fallbacks);
    return out;
}

} // namespace cornellever::proxy
