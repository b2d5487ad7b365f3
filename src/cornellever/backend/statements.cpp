#include <utility>

#include "cornellever/backend/connection_context.hpp"
#include "cornellever/backend/instance.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::backend {

asio::awaitable<result<instance::connection_context*>> instance::context_of(rpc::connection& conn) {
    if (conn.id < m_faults.silent_below_id) {
        // With this injected fault, the connection gets no further responses.
        conn.stop_answering = true;
        co_return fail(errc::outcome_unknown, "silent");
    }
    auto* existing = static_cast<connection_context*>(conn.state.get());
    if (existing != nullptr && existing->generation == m_data.generation()) {
        co_return existing;
    }
    if (existing == nullptr) {
        if (m_connections.size() >= m_settings.max_connections) {
            co_return fail(errc::busy, "instance " + m_settings.name + " has its " +
                                           std::to_string(m_settings.max_connections) + " connections open");
        }
        // Simulates the time to open a connection to a database server, which is
        // 12 to 30 ms.
        co_await sleep_for(m_settings.connect_delay);
    }
    auto opened = m_data.connect();
    if (!opened) {
        co_return std::unexpected{opened.error()};
    }
    // After a rebuild of the database the client needs a connection to the new
    // file. The flag that the server rolled back the client's transaction is
    // kept: without this flag, the client's next statement would run outside any
    // transaction.
    const bool aborted = existing != nullptr && existing->aborted;
    auto created =
        std::make_unique<connection_context>(conn.id, std::move(*opened), m_data.generation(), m_connections);
    created->aborted = aborted;
    conn.state = std::move(created);
    co_return static_cast<connection_context*>(conn.state.get());
}

result<void> instance::admit_read(params in) const {
    if (m_role == role::primary) {
        // The session has seen a write of a later term, so another server has
        // replaced this primary.
        if (in.get("min_term", 0).asUInt64() > m_term) {
            return fail(errc::fenced, "instance " + m_settings.name + " leads an older term than the session's");
        }
        return {};
    }
    const auto position = in.get("min_position", 0).asUInt64();
    const auto term = in.get("min_term", 0).asUInt64();
    // Comparing the position alone is not enough: after a failover, a replica
    // that has not caught up may hold an entry of the former primary at that
    // position.
    if (position > 0 && (m_data.applied_position() < position || !m_log.holds(position, term))) {
        return fail(errc::behind, "replica " + m_settings.name + " has applied " +
                                      std::to_string(m_data.applied_position()) + ", the session needs " +
                                      std::to_string(position) + " of term " + std::to_string(term));
    }
    if (in.isMember("max_staleness_ms") && staleness().count() > in["max_staleness_ms"].asInt64()) {
        return fail(errc::behind,
                    "replica " + m_settings.name + " is " + std::to_string(staleness().count()) + " ms stale");
    }
    return {};
}

result<void> instance::admit_write(params in) const {
    if (m_role != role::primary) {
        return fail(errc::fenced, "instance " + m_settings.name + " is a replica and takes no writes");
    }
    if (in.isMember("term") && in["term"].asUInt64() != m_term) {
        return fail(errc::fenced, "instance " + m_settings.name + " is in term " + std::to_string(m_term) +
                                      ", the request in term " + in["term"].asString());
    }
    if (m_quiescing) {
        return fail(errc::unavailable, "instance " + m_settings.name + " is handing over and takes no new work");
    }
    return {};
}

Json::Value instance::describe_log_end() const {
    Json::Value out;
    out["position"] = static_cast<Json::UInt64>(m_log.last());
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["instance"] = m_settings.name;
    return out;
}

asio::awaitable<void> instance::apply_answer_faults(rpc::connection& conn) {
    if (m_faults.answers_to_drop > 0) {
        --m_faults.answers_to_drop;
        conn.drop_answer = true;
    }
    if (m_faults.answer_delay.count() > 0) {
        co_await sleep_for(m_faults.answer_delay);
    }
}

result<void> instance::report_abort(connection_context& caller) const {
    if (!std::exchange(caller.aborted, false)) {
        return {};
    }
    return fail(errc::fenced, "the transaction was rolled back: instance " + m_settings.name +
                                  " is no longer the primary it began on");
}

std::unexpected<error> instance::log_refusal(const error& refusal) const {
    log_event(event::backend_refused, "instance=" + m_settings.name + " reason=\"" + refusal.message + "\"");
    return std::unexpected{refusal};
}

void instance::append(std::vector<logged_statement> statements) {
    m_data.record_local_commit(m_log.append(m_term, std::move(statements), clock::now()));
    log_event(event::backend_write, "instance=" + m_settings.name + " position=" + std::to_string(m_log.last()));
}

instance::answer instance::execute(params in, rpc::connection& conn) {
    auto context = co_await context_of(conn);
    if (!context) {
        co_return std::unexpected{context.error()};
    }
    auto& caller = **context;
    if (auto abort_reported = report_abort(caller); !abort_reported) {
        co_return std::unexpected{abort_reported.error()};
    }
    ++m_statements;
    const auto sql = in["sql"].asString();
    // Position and term are checked before the statement is prepared: on a
    // replica that has not yet applied the session's CREATE TABLE, a valid
    // statement fails to prepare.
    auto admitted = caller.in_transaction ? result<void>{} : admit_read(in);
    if (!admitted) {
        co_return log_refusal(admitted.error());
    }
    auto kind = caller.db.classify(sql);
    if (!kind) {
        co_return std::unexpected{kind.error()};
    }
    if (*kind == access::write && !caller.in_transaction) {
        admitted = admit_write(in);
    }
    if (!admitted) {
        co_return log_refusal(admitted.error());
    }
    const auto& bound = in.isMember("params") ? in["params"] : Json::Value{Json::arrayValue};
    auto ran = caller.db.run(sql, bound);
    if (!ran) {
        co_return std::unexpected{ran.error()};
    }
    if (*kind == access::write) {
        if (caller.in_transaction) {
            caller.pending.push_back(logged_statement{sql, bound});
        } else {
            append({logged_statement{sql, bound}});
        }
    }
    Json::Value out = describe_log_end();
    out["columns"] = ran->columns;
    out["rows"] = ran->rows;
    out["changes"] = static_cast<Json::Int64>(ran->changes);
    out["in_transaction"] = caller.db.in_transaction();
    out["wrote"] = *kind == access::write;
    co_await apply_answer_faults(conn);
    co_return out;
}

instance::answer instance::begin(params in, rpc::connection& conn) {
    auto context = co_await context_of(conn);
    if (!context) {
        co_return std::unexpected{context.error()};
    }
    auto admitted = admit_write(in);
    if (!admitted) {
        co_return std::unexpected{admitted.error()};
    }
    auto& caller = **context;
    caller.aborted = false;
    if (caller.in_transaction) {
        co_return fail(errc::bad_request, "a transaction is already open on this connection");
    }
    auto opened = caller.db.exec("BEGIN IMMEDIATE");
    if (!opened) {
        co_return std::unexpected{opened.error()};
    }
    caller.in_transaction = true;
    caller.pending.clear();
    Json::Value out;
    out["session"] = static_cast<Json::UInt64>(caller.id);
    co_return out;
}

instance::answer instance::commit(params, rpc::connection& conn) {
    auto context = co_await context_of(conn);
    if (!context) {
        co_return std::unexpected{context.error()};
    }
    auto& caller = **context;
    if (auto abort_reported = report_abort(caller); !abort_reported) {
        co_return std::unexpected{abort_reported.error()};
    }
    if (!caller.in_transaction) {
        co_return fail(errc::bad_request, "no transaction is open on this connection");
    }
    auto committed = caller.db.exec("COMMIT");
    if (!committed) {
        // SQLite leaves the transaction open when COMMIT fails. Without a
        // rollback, the next user of this pooled connection would continue the
        // transaction.
        caller.roll_back();
        co_return fail(errc::not_run,
                       "commit failed and the transaction was rolled back: " + committed.error().message);
    }
    caller.in_transaction = false;
    const bool wrote = !caller.pending.empty();
    if (wrote) {
        append(std::move(caller.pending));
        caller.pending.clear();
    }
    auto out = describe_log_end();
    out["wrote"] = wrote;
    co_await apply_answer_faults(conn);
    co_return out;
}

instance::answer instance::rollback(params, rpc::connection& conn) {
    auto context = co_await context_of(conn);
    if (!context) {
        co_return std::unexpected{context.error()};
    }
    (*context)->aborted = false;
    (*context)->roll_back();
    co_return Json::Value{Json::objectValue};
}

instance::answer instance::terminate(params in, rpc::connection&) {
    const auto id = in["session"].asUInt64();
    for (auto* item : m_connections) {
        if (item->id == id && item->in_transaction) {
            item->roll_back();
            item->aborted = true;
        }
    }
    co_return Json::Value{Json::objectValue};
}

} // namespace cornellever::backend
