#include "cornellever/proxy/read_path.hpp"

#include <algorithm>
#include <vector>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

/// Most replicas tried in one round.
constexpr std::size_t max_replica_tries = 2;

/// Pause between rounds while waiting for a replica to catch up, and
/// between tries on a primary that refused.
constexpr auto round_pause = std::chrono::milliseconds{5};
constexpr auto primary_pause = std::chrono::milliseconds{20};

/// A read that got no answer by then is sent to another instance: it
/// changes nothing, so it may run twice.
constexpr auto try_deadline = std::chrono::milliseconds{1000};

/// Errors of the statement itself, the same on every instance.
bool is_final(const error& failure) {
    return failure.code == errc::bad_request || failure.code == errc::conflict;
}

} // namespace

answer read_path::serve(const config::service& service, const execute_request& request, clock::time_point until) {
    ++m_reads;
    const auto wait_until = std::min(clock::now() + service.replica_wait, until);
    const bool wrote = request.session.mark_of(database_key(request.service, request.database)).position > 0;
    for (;;) {
        auto out = co_await try_replicas(service, request, until);
        if (!out || !out->isNull()) {
            co_return out;
        }
        // A session that never wrote has nothing for a replica to catch up with.
        if (!wrote || clock::now() + round_pause >= wait_until) {
            break;
        }
        co_await sleep_for(round_pause);
    }
    ++m_fallbacks;
    co_return co_await on_primary(request, until);
}

answer read_path::try_replicas(const config::service& service, const execute_request& request,
                               clock::time_point until) {
    const auto key = database_key(request.service, request.database);
    const auto mark = request.session.mark_of(key);
    auto payload = statement_payload(request);
    payload["min_position"] = static_cast<Json::UInt64>(mark.position);
    payload["min_term"] = static_cast<Json::UInt64>(mark.term);
    payload["max_staleness_ms"] = static_cast<Json::Int64>(service.max_staleness.count());
    std::vector<instance_view> candidates;
    for (const auto* view : m_links.known().replicas(request.service, request.database, mark, m_zone, clock::now())) {
        if (candidates.size() < max_replica_tries) {
            candidates.push_back(*view);
        }
    }
    for (const auto& replica : candidates) {
        auto out = co_await m_links.call(replica, "execute", payload, m_links.limits().replica_pool_wait,
                                         std::min(try_deadline, time_left(until)));
        if (out) {
            ++m_replica_reads;
            co_return statement_answer(*out, request.session, replica);
        }
        if (is_final(out.error())) {
            co_return std::unexpected{out.error()};
        }
        log_event(event::replica_fallback,
                  "instance=" + replica.key + " reason=" + std::string{to_string(out.error().code)});
    }
    co_return Json::Value{};
}

answer read_path::on_primary(const execute_request& request, clock::time_point until) {
    const auto mark = request.session.mark_of(database_key(request.service, request.database));
    auto payload = statement_payload(request);
    payload["min_term"] = static_cast<Json::UInt64>(mark.term);
    for (;;) {
        auto target = co_await m_links.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        payload["term"] = static_cast<Json::UInt64>(target->term);
        auto out =
            co_await m_links.call(*target, "execute", payload, std::min(m_links.limits().pool_wait, time_left(until)),
                                  std::min(try_deadline, time_left(until)));
        if (out) {
            co_return statement_answer(*out, request.session, *target);
        }
        const bool again = worth_retrying(out.error()) || out.error().code == errc::outcome_unknown;
        if (!again || clock::now() + primary_pause >= until) {
            co_return std::unexpected{out.error()};
        }
        co_await sleep_for(primary_pause);
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
