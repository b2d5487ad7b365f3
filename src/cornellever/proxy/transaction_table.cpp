#include "cornellever/proxy/transaction_table.hpp"

#include <algorithm>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto retry_pause = std::chrono::milliseconds{20};

/// Whether only the record of request ids can tell what became of a commit:
/// its outcome is unknown, or its id was found taken.
bool needs_record(const error& failure) noexcept {
    return !guarantees_not_executed(failure.code) || failure.code == errc::conflict;
}

std::unexpected<error> not_open(const std::string& id) {
    return fail(errc::not_run,
                "transaction " + id +
                    " is not open on this connection: it ended, was rolled back, or is another caller's");
}

} // namespace

/// Lives as long as the caller's connection and takes its transactions along.
struct transaction_table::caller_state : rpc::connection_state {
    caller_state(transaction_table& table, std::uint64_t caller) : m_table{table}, m_caller{caller} {}
    ~caller_state() override { m_table.abandon_all_of(m_caller); }
    caller_state(const caller_state&) = delete;
    caller_state& operator=(const caller_state&) = delete;

private:
    transaction_table& m_table;
    std::uint64_t m_caller;
};

result<transaction_table::pinned*> transaction_table::find(const std::string& id, const rpc::connection& caller) {
    const auto found = m_open.find(id);
    if (found == m_open.end() || found->second.caller != caller.id) {
        return not_open(id);
    }
    if (found->second.busy) {
        return fail(errc::busy, "transaction " + id + " is running another statement");
    }
    return &found->second;
}

result<transaction_table::pinned> transaction_table::take(const std::string& id, const rpc::connection& caller) {
    auto held = find(id, caller);
    if (!held) {
        return std::unexpected{held.error()};
    }
    auto out = std::move(**held);
    m_open.erase(id);
    return out;
}

void transaction_table::abandon_all_of(std::uint64_t caller) {
    std::erase_if(m_open, [&](const auto& item) {
        const auto& [id, held] = item;
        if (held.caller == caller) {
            log_event(event::transaction_abandoned, "transaction=" + id + " reason=caller_gone");
        }
        return held.caller == caller;
    });
}

std::string transaction_table::keep(pinned opened, rpc::connection& caller) {
    if (!caller.state) {
        caller.state = std::make_unique<caller_state>(*this, caller.id);
    }
    auto id = "t" + std::to_string(m_next_id++);
    m_open.emplace(id, std::move(opened));
    return id;
}

answer transaction_table::begin(const config::service& service, const begin_request& request, rpc::connection& caller,
                                clock::time_point until) {
    if (!request.request_id.empty()) {
        auto token = request.session;
        auto earlier =
            co_await m_writes.outcome_of(request.service, request.database, request.request_id, token, until);
        if (!earlier || !earlier->isNull()) {
            co_return earlier;
        }
    }
    for (;;) {
        auto target = co_await m_links.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        auto opened = co_await m_links.begin(*target, until, request.deadline);
        if (opened) {
            const auto id = keep(pinned{caller.id, *target, std::move(*opened), request.request_id,
                                        service.transaction_idle, clock::now()},
                                 caller);
            Json::Value out;
            out["transaction"] = id;
            out["session"] = to_json(request.session);
            out["served_by"] = served_by(*target);
            co_return out;
        }
        if (!worth_retrying(opened.error()) || clock::now() + retry_pause >= until) {
            co_return std::unexpected{opened.error()};
        }
        co_await sleep_for(retry_pause);
    }
}

answer transaction_table::execute(const execute_request& request, const rpc::connection& caller,
                                  clock::time_point until) {
    auto held = find(request.transaction, caller);
    if (!held) {
        co_return std::unexpected{held.error()};
    }
    auto& transaction = **held;
    transaction.busy = true;
    auto out = co_await backend_links::call_on(transaction.connection, "execute", statement_payload(request),
                                               std::min(write_try_deadline, time_left(until)));
    transaction.busy = false;
    transaction.last_used = clock::now();
    if (out && out->isObject() && (*out)["in_transaction"] == false) {
        // The backend had ended the transaction (a restart, a change of
        // role) and ran this statement by itself: never what its caller asked.
        m_open.erase(request.transaction);
        co_return fail(errc::outcome_unknown,
                       "transaction " + request.transaction + " had ended when this statement ran");
    }
    if (out) {
        auto served = statement_answer(*out, request.session, transaction.primary);
        served.removeMember("served_by"); // `begin` said it
        served["transaction"] = request.transaction;
        co_return served;
    }
    const bool over = !transaction.connection->usable() || out.error().code == errc::fenced;
    if (over) {
        // COMMIT was never sent, and the backend rolls back a transaction
        // whose connection closed or whose primary was replaced.
        m_open.erase(request.transaction);
        co_return fail(errc::not_run,
                       "transaction " + request.transaction + " was rolled back: " + out.error().message);
    }
    co_return std::unexpected{out.error()};
}

answer transaction_table::commit(const finish_request& request, const rpc::connection& caller,
                                 clock::time_point until) {
    auto taken = take(request.transaction, caller);
    if (!taken) {
        co_return std::unexpected{taken.error()};
    }
    auto held = std::move(*taken);
    auto token = request.session;
    auto done = co_await commit_held(held, token, until);
    if (!done && !held.request_id.empty() && needs_record(done.error())) {
        done = co_await settle_by_record(held, done.error(), token, until);
    }
    if (!done) {
        co_return std::unexpected{done.error()};
    }
    Json::Value out;
    out["session"] = to_json(token);
    co_return out;
}

asio::awaitable<result<void>> transaction_table::commit_held(pinned& held, session_token& token,
                                                             clock::time_point until) {
    if (!held.request_id.empty()) {
        auto added = co_await m_writes.record().add(held.connection, held.request_id, Json::Value{Json::objectValue},
                                                    time_left(until));
        if (!added) {
            held.connection.discard();
            // A conflict means the same id committed elsewhere meanwhile.
            const auto code = added.error().code == errc::conflict ? errc::conflict : errc::not_run;
            co_return fail(code, "the transaction was rolled back: " + added.error().message);
        }
    }
    auto committed = co_await backend_links::call_on(held.connection, "commit", Json::Value{Json::objectValue},
                                                     std::min(write_try_deadline, time_left(until)));
    held.connection.release();
    if (!committed) {
        co_return std::unexpected{committed.error()};
    }
    if (!(*committed)["wrote"].asBool()) {
        co_return result<void>{};
    }
    co_return co_await m_writes.acknowledge(held.primary, mark_from(*committed), token, until);
}

asio::awaitable<result<void>> transaction_table::settle_by_record(const pinned& held, error doubt, session_token& token,
                                                                  clock::time_point until) {
    auto outcome =
        co_await m_writes.outcome_of(held.primary.service, held.primary.database, held.request_id, token, until);
    if (!outcome) {
        co_return std::unexpected{outcome.error()};
    }
    if (outcome->isNull()) {
        co_return fail(errc::not_run, "the commit did not take effect: " + doubt.message);
    }
    co_return result<void>{};
}

answer transaction_table::rollback(const finish_request& request, const rpc::connection& caller,
                                   clock::time_point until) {
    auto taken = take(request.transaction, caller);
    if (!taken) {
        co_return std::unexpected{taken.error()};
    }
    auto held = std::move(*taken);
    co_await backend_links::undo(held.connection, time_left(until));
    Json::Value out;
    out["session"] = to_json(request.session);
    co_return out;
}

void transaction_table::sweep() {
    const auto now = clock::now();
    std::erase_if(m_open, [&](const auto& item) {
        const auto& [id, held] = item;
        const bool abandoned = !held.busy && now - held.last_used >= held.idle_limit;
        if (abandoned) {
            // Erasing closes the pinned connection, so the backend rolls the
            // transaction back before anyone else can get that connection.
            log_event(event::transaction_abandoned, "transaction=" + id + " reason=idle");
        }
        return abandoned;
    });
}

} // namespace cornellever::proxy
