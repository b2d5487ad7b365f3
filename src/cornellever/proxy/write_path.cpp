#include "cornellever/proxy/write_path.hpp"

#include <algorithm>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

/// Pause before what was certainly not run is sent again.
constexpr auto retry_pause = std::chrono::milliseconds{20};

constexpr auto confirm_wait = std::chrono::milliseconds{2000};
constexpr auto doubt_retry_after = std::chrono::milliseconds{1000};

std::chrono::milliseconds try_time(std::chrono::steady_clock::time_point until) {
    return std::min(write_try_deadline, time_left(until));
}

/// The error of a step before COMMIT was sent. Closing the connection makes
/// the backend roll back, so even a step without an answer has not run.
error before_commit(const error& failure) {
    if (guarantees_not_executed(failure.code)) {
        return failure;
    }
    return error{errc::unavailable, "rolled back before commit: " + failure.message, {}};
}

} // namespace

asio::awaitable<result<void>> write_path::acknowledge(const instance_view& primary, write_mark mark,
                                                      session_token& token, clock::time_point until) {
    until = std::min(until, clock::now() + confirm_wait);
    auto confirmed = co_await m_links.confirm(primary, mark, time_left(until));
    if (!confirmed) {
        const auto fields = "instance=" + primary.key + " term=" + std::to_string(mark.term) +
                            " position=" + std::to_string(mark.position);
        auto kept = co_await outlived(primary, mark, until);
        if (!kept) {
            log_event(event::write_unconfirmed, fields);
            co_return confirmed;
        }
        log_event(event::write_settled, fields + " outcome=" + (*kept ? "kept" : "dropped"));
        if (!*kept) {
            co_return fail(errc::not_run, "the write was dropped when " + primary.key + " was replaced");
        }
    }
    token.advance(database_key(primary.service, primary.database), mark);
    co_return result<void>{};
}

asio::awaitable<result<bool>> write_path::outlived(const instance_view& replaced, write_mark mark,
                                                   clock::time_point until) {
    Json::Value payload;
    payload["position"] = static_cast<Json::UInt64>(mark.position);
    payload["entry_term"] = static_cast<Json::UInt64>(mark.term);
    for (;;) {
        auto leader = co_await m_links.await_primary(replaced.service, replaced.database, until, mark.term + 1);
        if (!leader) {
            co_return fail(errc::outcome_unknown, leader.error().message);
        }
        payload["term"] = static_cast<Json::UInt64>(leader->term);
        auto found = co_await m_links.call(*leader, "find_entry", payload,
                                           std::min(m_links.limits().pool_wait, time_left(until)), try_time(until));
        // Its log is history only once a majority holds it: an entry of its
        // own term stands at the end, so no later primary can lack it.
        if (found && co_await m_links.confirm(*leader, mark_from(*found), time_left(until))) {
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
        auto target = co_await m_links.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        payload["term"] = static_cast<Json::UInt64>(target->term);
        auto out = co_await m_links.call(*target, "execute", payload,
                                         std::min(m_links.limits().pool_wait, time_left(until)), try_time(until));
        if (out) {
            auto token = request.session;
            if ((*out)["wrote"].asBool()) {
                auto safe = co_await acknowledge(*target, mark_from(*out), token, until);
                if (!safe) {
                    co_return std::unexpected{safe.error()};
                }
            }
            co_return statement_answer(*out, token, *target);
        }
        if (!worth_retrying(out.error()) || clock::now() + retry_pause >= until) {
            co_return std::unexpected{out.error()};
        }
        co_await sleep_for(retry_pause);
    }
}

answer write_path::serve_once(const execute_request& request, clock::time_point until) {
    bool in_doubt = false;
    for (;;) {
        auto target = co_await m_links.await_primary(request.service, request.database, until);
        result<Json::Value> out = fail(errc::unavailable, "no primary");
        if (target) {
            out = co_await once_on(*target, request, until);
        } else {
            out = std::unexpected{target.error()};
        }
        if (out) {
            co_return out;
        }
        const bool unknown = !guarantees_not_executed(out.error().code);
        in_doubt = in_doubt || unknown;
        const bool again = unknown || worth_retrying(out.error());
        if (again && clock::now() + retry_pause < until) {
            co_await sleep_for(retry_pause);
            continue;
        }
        // An earlier try may have committed. Only a refusal of the statement
        // itself, reached after the record showed no trace of the id, still
        // proves that nothing ran; being unable to look does not.
        const bool learnt = !again && target.has_value();
        if (in_doubt && !learnt) {
            co_return fail_with_retry_after(errc::outcome_unknown,
                                            "request " + request.request_id +
                                                " may have taken effect: ask again with the same id (" +
                                                out.error().message + ")",
                                            doubt_retry_after);
        }
        co_return out;
    }
}

answer write_path::once_on(const instance_view& primary, const execute_request& request, clock::time_point until) {
    auto begun = co_await m_links.begin(primary, until, write_try_deadline);
    if (!begun) {
        co_return std::unexpected{begun.error()};
    }
    auto& link = *begun;
    auto found = co_await m_record.find(link, primary, request.request_id, try_time(until));
    if (!found || *found) {
        co_await backend_links::undo(link, write_try_deadline);
        if (!found) {
            co_return std::unexpected{before_commit(found.error())};
        }
        co_return co_await repeated(primary, std::move(**found), request.session, until);
    }
    auto ran = co_await run_and_record(link, request, until);
    if (!ran) {
        co_await backend_links::undo(link, write_try_deadline);
        co_return std::unexpected{before_commit(ran.error())};
    }
    auto committed = co_await backend_links::call_on(link, "commit", Json::Value{Json::objectValue}, try_time(until));
    link.release();
    if (!committed) {
        co_return std::unexpected{committed.error()};
    }
    m_record.note_committed(primary);
    auto token = request.session;
    auto safe = co_await acknowledge(primary, mark_from(*committed), token, until);
    if (!safe) {
        co_return std::unexpected{safe.error()};
    }
    co_return statement_answer(*ran, token, primary);
}

answer write_path::run_and_record(const pooled_connection& link, const execute_request& request,
                                  clock::time_point until) {
    auto ran = co_await backend_links::call_on(link, "execute", statement_payload(request), try_time(until));
    if (!ran) {
        co_return std::unexpected{ran.error()};
    }
    Json::Value recorded;
    for (const auto* field : {"columns", "rows", "changes"}) {
        recorded[field] = (*ran)[field];
    }
    auto added = co_await m_record.add(link, request.request_id, recorded, try_time(until));
    if (!added) {
        co_return std::unexpected{added.error()};
    }
    co_return recorded;
}

answer write_path::repeated(const instance_view& primary, request_record::outcome found, session_token token,
                            clock::time_point until) {
    // The record may have been written just now and not be safe yet: it is
    // answered only once a majority holds the log up to here.
    auto safe = co_await acknowledge(primary, found.seen_at, token, until);
    if (!safe) {
        // The mark is the log's end where the record was seen; the record
        // stands before it and may be kept though the end was dropped.
        co_return fail(errc::outcome_unknown, safe.error().message);
    }
    log_event(event::request_repeated, "instance=" + primary.key);
    auto out = statement_answer(found.answer, token, primary);
    out["repeated"] = true;
    co_return out;
}

answer write_path::look_up(const instance_view& primary, const std::string& request_id, session_token& token,
                           clock::time_point until) {
    auto begun = co_await m_links.begin(primary, until, write_try_deadline);
    if (!begun) {
        co_return std::unexpected{begun.error()};
    }
    auto& link = *begun;
    auto found = co_await m_record.find(link, primary, request_id, try_time(until));
    co_await backend_links::undo(link, write_try_deadline);
    if (!found) {
        co_return std::unexpected{found.error()};
    }
    if (!*found) {
        co_return Json::Value{};
    }
    auto out = co_await repeated(primary, std::move(**found), token, until);
    if (out) {
        auto known = token_from_json((*out)["session"]);
        token = known ? std::move(*known) : token;
    }
    co_return out;
}

answer write_path::outcome_of(const std::string& service, const std::string& database, const std::string& request_id,
                              session_token& token, clock::time_point until) {
    for (;;) {
        auto target = co_await m_links.await_primary(service, database, until);
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
                doubt_retry_after);
        }
        co_await sleep_for(retry_pause);
    }
}

} // namespace cornellever::proxy
