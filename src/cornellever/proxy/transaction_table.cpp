#include "cornellever/proxy/transaction_table.hpp"

#include <algorithm>

#include "cornellever/core/log.hpp"

namespace cornellever::proxy {

namespace {

constexpr auto retry_pause = std::chrono::milliseconds{20};

/// Whether the outcome of a failed commit must be looked up in `request_record`, the table of request ids that the
/// proxies keep in the caller's (client application's) database. This is necessary if the response to the commit was
/// lost or if the request's id was already recorded.
bool outcome_needs_record(const error& failure) noexcept {
    return !guarantees_not_executed(failure.code) || failure.code == errc::conflict;
}

std::unexpected<error> not_open(const std::string& id) {
    return fail(errc::not_run,
                "transaction " + id +
                    " is not open on this connection: it ended, was rolled back, or is another caller's");
}

} // namespace

/// Destroyed with the caller's connection to the proxy; the destructor rolls back all transactions that were begun on
/// that connection.
struct transaction_table::caller_state : rpc::connection_state {
    caller_state(transaction_table& table, std::uint64_t caller) : m_table{table}, m_caller{caller} {}
    ~caller_state() override { m_table.roll_back_all_of(m_caller); }
    caller_state(const caller_state&) = delete;
    caller_state& operator=(const caller_state&) = delete;

private:
    transaction_table& m_table;
    std::uint64_t m_caller;
};

result<transaction_table::pinned_transaction*> transaction_table::find(const std::string& id,
                                                                       const rpc::connection& caller) {
    const auto found = m_open.find(id);
    if (found == m_open.end() || found->second.caller != caller.id) {
        return not_open(id);
    }
    if (found->second.busy) {
        return fail(errc::busy, "transaction " + id + " is running another statement");
    }
    return &found->second;
}

result<transaction_table::pinned_transaction> transaction_table::extract(const std::string& id,
                                                                         const rpc::connection& caller) {
    auto found = find(id, caller);
    if (!found) {
        return std::unexpected{found.error()};
    }
    auto out = std::move(**found);
    m_open.erase(id);
    return out;
}

void transaction_table::roll_back_all_of(std::uint64_t caller) {
    std::erase_if(m_open, [&](const auto& item) {
        const auto& [id, transaction] = item;
        if (transaction.caller == caller) {
            log_event(event::transaction_abandoned, "transaction=" + id + " reason=caller_gone");
        }
        return transaction.caller == caller;
    });
}

std::string transaction_table::insert(pinned_transaction opened, rpc::connection& caller) {
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
        auto target = co_await m_backends.await_primary(request.service, request.database, until);
        if (!target) {
            co_return std::unexpected{target.error()};
        }
        auto opened = co_await m_backends.begin(*target, until, request.deadline);
        if (opened) {
            const auto id = insert(pinned_transaction{caller.id, *target, std::move(*opened), request.request_id,
                                                      service.transaction_idle, clock::now()},
                                   caller);
            Json::Value out;
            out["transaction"] = id;
            out["session"] = to_json(request.session);
            out["served_by"] = served_by(*target);
            co_return out;
        }
        if (!is_retryable(opened.error()) || clock::now() + retry_pause >= until) {
            co_return std::unexpected{opened.error()};
        }
        co_await sleep_for(retry_pause);
    }
}

answer transaction_table::execute(const execute_request& request, const rpc::connection& caller,
                                  clock::time_point until) {
    auto found = find(request.transaction, caller);
    if (!found) {
        co_return std::unexpected{found.error()};
    }
    auto& transaction = **found;
    transaction.busy = true;
    auto out = co_await backend_connections::call_on(transaction.connection, "execute", statement_payload(request),
                                                     std::min(write_attempt_deadline, time_left(until)));
    transaction.busy = false;
    transaction.last_used = clock::now();
    if (out && out->isObject() && (*out)["in_transaction"] == false) {
        // The backend server had already ended the transaction (a restart, a failover) and ran this statement outside
        // of any transaction, so the statement may have taken effect by itself.
        m_open.erase(request.transaction);
        co_return fail(errc::outcome_unknown,
                       "transaction " + request.transaction + " had ended when this statement ran");
    }
    if (out) {
        auto served = statement_answer(*out, request.session, transaction.primary);
        served.removeMember("served_by"); // the response to `begin` contained it
        served["transaction"] = request.transaction;
        co_return served;
    }
    const bool ended = !transaction.connection->usable() || out.error().code == errc::fenced;
    if (ended) {
        // The transaction cannot commit any more: COMMIT was never sent, and a backend server rolls back a transaction
        // when its connection closes or the server is replaced as primary.
        m_open.erase(request.transaction);
        co_return fail(errc::not_run,
                       "transaction " + request.transaction + " was rolled back: " + out.error().message);
    }
    co_return std::unexpected{out.error()};
}

answer transaction_table::commit(const finish_request& request, const rpc::connection& caller,
                                 clock::time_point until) {
    auto taken = extract(request.transaction, caller);
    if (!taken) {
        co_return std::unexpected{taken.error()};
    }
    auto transaction = std::move(*taken);
    auto token = request.session;
    auto done = co_await commit_pinned(transaction, token, until);
    if (!done && !transaction.request_id.empty() && outcome_needs_record(done.error())) {
        done = co_await resolve_by_record(transaction, done.error(), token, until);
    }
    if (!done) {
        co_return std::unexpected{done.error()};
    }
    Json::Value out;
    out["session"] = to_json(token);
    co_return out;
}

asio::awaitable<result<void>> transaction_table::commit_pinned(pinned_transaction& transaction, session_token& token,
                                                               clock::time_point until) {
    if (!transaction.request_id.empty()) {
        auto added = co_await m_writes.record().add(transaction.connection, transaction.request_id,
                                                    Json::Value{Json::objectValue}, time_left(until));
        if (!added) {
            transaction.connection.discard();
            // A conflict means that another attempt with the same request id has committed in the meantime.
            const auto code = added.error().code == errc::conflict ? errc::conflict : errc::not_run;
            co_return fail(code, "the transaction was rolled back: " + added.error().message);
        }
    }
    auto committed =
        co_await backend_connections::call_on(transaction.connection, "commit", Json::Value{Json::objectValue},
                                              std::min(write_attempt_deadline, time_left(until)));
    transaction.connection.release();
    if (!committed) {
        co_return std::unexpected{committed.error()};
    }
    if (!(*committed)["wrote"].asBool()) {
        co_return result<void>{};
    }
    co_return co_await m_writes.acknowledge(transaction.primary, position_from(*committed), token, until);
}

asio::awaitable<result<void>> transaction_table::resolve_by_record(const pinned_transaction& transaction, error cause,
                                                                   session_token& token, clock::time_point until) {
    auto outcome = co_await m_writes.outcome_of(transaction.primary.service, transaction.primary.database,
                                                transaction.request_id, token, until);
    if (!outcome) {
        co_return std::unexpected{outcome.error()};
    }
    if (outcome->isNull()) {
        co_return fail(errc::not_run, "the commit did not take effect: " + cause.message);
    }
    co_return result<void>{};
}

answer transaction_table::rollback(const finish_request& request, const rpc::connection& caller,
                                   clock::time_point until) {
    auto taken = extract(request.transaction, caller);
    if (!taken) {
        co_return std::unexpected{taken.error()};
    }
    auto transaction = std::move(*taken);
    co_await backend_connections::roll_back(transaction.connection, time_left(until));
    Json::Value out;
    out["session"] = to_json(request.session);
    co_return out;
}

void transaction_table::sweep() {
    const auto now = clock::now();
    std::erase_if(m_open, [&](const auto& item) {
        const auto& [id, transaction] = item;
        const bool abandoned = !transaction.busy && now - transaction.last_used >= transaction.idle_limit;
        if (abandoned) {
            // Erasing the entry closes its backend connection. The connection is not returned to the pool, and the
            // backend server rolls the transaction back.
            log_event(event::transaction_abandoned, "transaction=" + id + " reason=idle");
        }
        return abandoned;
    });
}

} // namespace cornellever::proxy
