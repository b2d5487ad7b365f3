#include "cornellever/proxy/write_path.hpp"

#include <algorithm>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

/// Pause before a request that certainly did not run is retried.
constexpr auto retry_pause = std::chrono::milliseconds{20};

constexpr auto confirmation_timeout = std::chrono::milliseconds{2000};
constexpr auto unknown_outcome_retry_after = std::chrono::milliseconds{1000};

std::chrono::milliseconds attempt_time(std::chrono::steady_clock::time_point until) {
    return std::min(write_attempt_deadline, time_left(until));
}

/// Converts the error of a step before COMMIT into one that allows a retry. The connection has been closed or the
/// transaction rolled back, so the step has not taken effect even if its response was lost.
error as_not_committed(const error& failure) {
    if (guarantees_not_executed(failure.code)) {
        return failure;
    }
    return error{errc::unavailable, "rolled back before commit: " + failure.message, {}};
}

} // namespace

asio::awaitable<result<void>> write_path::acknowledge(const instance_view& primary, term_position entry,
                                                      session_token& token, clock::time_point until) {
    until = std::min(until, clock::now() + confirmation_timeout);
    auto confirmed = co_await m_backends.confirm(primary, entry, time_left(until));
    if (!confirmed) {
        const auto fields = "instance=" + primary.key + " term=" + std::to_string(entry.term) +
                            " position=" + std::to_string(entry.position);
        auto survived = co_await survived_failover(primary, entry, until);
        if (!survived) {
            log_event(event::write_unconfirmed, fields);
            co_return confirmed;
        }
        log_event(event::write_settled, fields + " outcome=" + (*survived ? "kept" : "dropped"));
        if (!*survived) {
            co_return fail(errc::not_run, "the write was dropped when " + primary.key + " was replaced");
        }
    }
    token.advance(database_key(primary.service, primary.database), entry);
    co_return result<void>{};
}

asio::awaitable<result<bool>> write_path::survived_failover(const instance_view& replaced, term_position entry,
                                                            clock::time_point until) {
    Json::Value payload;
    payload["position"] = static_cast<Json::UInt64>(entry.position);
    payload["entry_term"] = static_cast<Json::UInt64>(entry.term);
    for (;;) {
        auto new_primary =
            co_await m_backends.await_primary(replaced.service, replaced.database, until, entry.term + 1);
        if (!new_primary) {
            co_return fail(errc::outcome_unknown, new_primary.error().message);
        }
        payload["term"] = static_cast<Json::UInt64>(new_primary->term);
        auto found =
            co_await m_backends.call(*new_primary, "find_entry", payload,
                                     std::min(m_backends.limits().pool_wait, time_left(until)), attempt_time(until));
        // The log of the new primary is final once a majority holds it up to its end: its last entries are of the new
        // primary's own term, so every later primary has them too. Before that, another failover could still change the
        // result.
        if (found && co_await m_backends.confirm(*new_primary, position_from(*found), time_left(until))) {
            co_return (*found)["held"].asBool();
        }
        if (clock::now() + retry_pause >= until) {
            co_return fail(errc::outcome_unknown, found ? "the new primary is not confirmed" : found.error().message);
        }
        co_await sleep_for(retry_pause);
    }
}

answer write_path::serve(const execute_request& request, clock::time_point until) {
    auto payload = statement_payload(request);
    for (;;) {
        auto target = co_await m_backends.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        payload["term"] = static_cast<Json::UInt64>(target->term);
        auto out =
            co_await m_backends.call(*target, "execute", payload,
                                     std::min(m_backends.limits().pool_wait, time_left(until)), attempt_time(until));
        if (out) {
            auto token = request.session;
            if ((*out)["wrote"].asBool()) {
                auto confirmed = co_await acknowledge(*target, position_from(*out), token, until);
                if (!confirmed) {
                    co_return std::unexpected{confirmed.error()};
                }
            }
            co_return statement_answer(*out, token, *target);
        }
        if (!is_retryable(out.error()) || clock::now() + retry_pause >= until) {
            co_return std::unexpected{out.error()};
        }
        co_await sleep_for(retry_pause);
    }
}

answer write_path::serve_idempotent(const execute_request& request, clock::time_point until) {
    bool in_doubt = false;
    for (;;) {
        auto target = co_await m_backends.await_primary(request.service, request.database, until);
        result<Json::Value> out = fail(errc::unavailable, "no primary");
        if (target) {
            out = co_await attempt_idempotent(*target, request, until);
        } else {
            out = std::unexpected{target.error()};
        }
        if (out) {
            co_return out;
        }
        const bool unknown = !guarantees_not_executed(out.error().code);
        in_doubt = in_doubt || unknown;
        const bool retryable = unknown || is_retryable(out.error());
        if (retryable && clock::now() + retry_pause < until) {
            co_await sleep_for(retry_pause);
            continue;
        }
        // An earlier attempt may have committed. The only proof that no attempt has is an error of the statement itself
        // in the last attempt, because the statement runs only after the record was found to have no entry for the id.
        // An error while reading the record proves nothing.
        const bool resolved = !retryable && target.has_value();
        if (in_doubt && !resolved) {
            co_return fail_with_retry_after(errc::outcome_unknown,
                                            "request " + request.request_id +
                                                " may have taken effect: ask again with the same id (" +
                                                out.error().message + ")",
                                            unknown_outcome_retry_after);
        }
        co_return out;
    }
}

answer write_path::attempt_idempotent(const instance_view& primary, const execute_request& request,
                                      clock::time_point until) {
    auto begun = co_await m_backends.begin(primary, until, write_attempt_deadline);
    if (!begun) {
        co_return std::unexpected{begun.error()};
    }
    auto& connection = *begun;
    auto found = co_await m_record.find(connection, primary, request.request_id, attempt_time(until));
    if (!found || *found) {
        co_await backend_connections::roll_back(connection, write_attempt_deadline);
        if (!found) {
            co_return std::unexpected{as_not_committed(found.error())};
        }
        co_return co_await answer_from_record(primary, std::move(**found), request.session, until);
    }
    auto executed = co_await run_and_record(connection, request, until);
    if (!executed) {
        co_await backend_connections::roll_back(connection, write_attempt_deadline);
        co_return std::unexpected{as_not_committed(executed.error())};
    }
    auto committed = co_await backend_connections::call_on(connection, "commit", Json::Value{Json::objectValue},
                                                           attempt_time(until));
    connection.release();
    if (!committed) {
        co_return std::unexpected{committed.error()};
    }
    m_record.note_committed(primary);
    auto token = request.session;
    auto confirmed = co_await acknowledge(primary, position_from(*committed), token, until);
    if (!confirmed) {
        co_return std::unexpected{confirmed.error()};
    }
    co_return statement_answer(*executed, token, primary);
}

answer write_path::run_and_record(const pooled_connection& connection, const execute_request& request,
                                  clock::time_point until) {
    auto executed =
        co_await backend_connections::call_on(connection, "execute", statement_payload(request), attempt_time(until));
    if (!executed) {
        co_return std::unexpected{executed.error()};
    }
    Json::Value recorded;
    for (const auto* field : {"columns", "rows", "changes"}) {
        recorded[field] = (*executed)[field];
    }
    auto added = co_await m_record.add(connection, request.request_id, recorded, attempt_time(until));
    if (!added) {
        co_return std::unexpected{added.error()};
    }
    co_return recorded;
}

answer write_path::answer_from_record(const instance_view& primary, request_record::outcome found, session_token token,
                                      clock::time_point until) {
    // The record may be recent and not yet replicated, so its response is returned only once a majority holds the log
    // up to the position at which the record was read.
    auto confirmed = co_await acknowledge(primary, found.log_end, token, until);
    if (!confirmed) {
        // Not reported as `not_run`: `log_end` is the end of the log when the record was read, and the record itself is
        // at an earlier position. The record may have survived a failover that dropped the end of the log.
        co_return fail(errc::outcome_unknown, confirmed.error().message);
    }
    log_event(event::request_repeated, "instance=" + primary.key);
    auto out = statement_answer(found.answer, token, primary);
    out["repeated"] = true;
    co_return out;
}

answer write_path::look_up(const instance_view& primary, const std::string& request_id, session_token& token,
                           clock::time_point until) {
    auto begun = co_await m_backends.begin(primary, until, write_attempt_deadline);
    if (!begun) {
        co_return std::unexpected{begun.error()};
    }
    auto& connection = *begun;
    auto found = co_await m_record.find(connection, primary, request_id, attempt_time(until));
    co_await backend_connections::roll_back(connection, write_attempt_deadline);
    if (!found) {
        co_return std::unexpected{found.error()};
    }
    if (!*found) {
        co_return Json::Value{};
    }
    auto out = co_await answer_from_record(primary, std::move(**found), token, until);
    if (out) {
        auto parsed = token_from_json((*out)["session"]);
        token = parsed ? std::move(*parsed) : token;
    }
    co_return out;
}

answer write_path::outcome_of(const std::string& service, const std::string& database, const std::string& request_id,
                              session_token& token, clock::time_point until) {
    for (;;) {
        auto target = co_await m_backends.await_primary(service, database, until);
        result<Json::Value> out = fail(errc::unavailable, "no primary answers");
        if (target) {
            out = co_await look_up(*target, request_id, token, until);
        }
        if (out) {
            co_return out;
        }
        if (clock::now() + retry_pause >= until) {
            co_return fail_with_retry_after(
                errc::outcome_unknown, "request " + request_id + " may have taken effect: ask again with the same id",
                unknown_outcome_retry_after);
        }
        co_await sleep_for(retry_pause);
    }
}

} // namespace cornellever::proxy
