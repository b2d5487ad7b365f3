#include <utility>

#include "cornellever/backend/client.hpp"
#include "cornellever/backend/instance.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::backend {

asio::awaitable<result<instance::client*>> instance::attach(rpc::connection& conn) {
    if (conn.id < m_faults.silent_below) {
        // Fault "silent connection": this connection stops answering for good.
        conn.stop_answering = true;
        co_return fail(errc::outcome_unknown, "silent");
    }
    auto* known = static_cast<client*>(conn.state.get());
    if (known != nullptr && known->generation == m_data.generation()) {
        co_return known;
    }
    if (known == nullptr) {
        if (m_clients.size() >= m_settings.max_connections) {
            co_return fail(errc::busy, "instance " + m_settings.name + " has its " +
                                           std::to_string(m_settings.max_connections) + " connections open");
        }
        // A new connection costs what the brief says it costs (12 to 30 ms).
        co_await sleep_for(m_settings.connect_delay);
    }
    auto opened = m_data.connect();
    if (!opened) {
        co_return std::unexpected{opened.error()};
    }
    // A rebuilt database takes a new connection to it. That its caller's
    // transaction was undone must not get lost with the old one: the next
    // statement would run outside any transaction.
    const bool aborted = known != nullptr && known->aborted;
    auto fresh = std::make_unique<client>(conn.id, std::move(*opened), m_data.generation(), m_clients);
    fresh->aborted = aborted;
    conn.state = std::move(fresh);
    co_return static_cast<client*>(conn.state.get());
}

result<void> instance::admit_read(params in) const {
    if (m_role == role::primary) {
        // The session wrote in a later term: this primary has been replaced.
        if (in.get("min_term", 0).asUInt64() > m_term) {
            return fail(errc::fenced, "instance " + m_settings.name + " leads an older term than the session's");
        }
        return {};
    }
    const auto position = in.get("min_position", 0).asUInt64();
    const auto term = in.get("min_term", 0).asUInt64();
    // The position alone is not enough: after a failover a replica that has
    // not caught up may hold another primary's entry at the same position.
    if (position > 0 && (m_data.applied() < position || !m_log.holds(position, term))) {
        return fail(errc::behind, "replica " + m_settings.name + " has applied " + std::to_string(m_data.applied()) +
                                      ", the session needs " + std::to_string(position) + " of term " +
                                      std::to_string(term));
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

Json::Value instance::where_written() const {
    Json::Value out;
    out["position"] = static_cast<Json::UInt64>(m_log.last());
    out["term"] = static_cast<Json::UInt64>(m_term);
    out["instance"] = m_settings.name;
    return out;
}

asio::awaitable<void> instance::after_effect(rpc::connection& conn) {
    if (m_faults.lose_answers > 0) {
        --m_faults.lose_answers;
        conn.drop_answer = true;
    }
    if (m_faults.delay_answers.count() > 0) {
        co_await sleep_for(m_faults.delay_answers);
    }
}

result<void> instance::tell_of_abort(client& session) const {
    if (!std::exchange(session.aborted, false)) {
        return {};
    }
    return fail(errc::fenced, "the transaction was rolled back: instance " + m_settings.name +
                                  " is no longer the primary it began on");
}

std::unexpected<error> instance::refuse(const error& refusal) const {
    log_event(event::backend_refused, "instance=" + m_settings.name + " reason=\"" + refusal.message + "\"");
    return std::unexpected{refusal};
}

void instance::append(std::vector<logged_statement> statements) {
    m_data.committed_here(m_log.append(m_term, std::move(statements), clock::now()));
    log_event(event::backend_write, "instance=" + m_settings.name + " position=" + std::to_string(m_log.last()));
}

instance::answer instance::execute(params in, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto& session = **attached;
    if (auto standing = tell_of_abort(session); !standing) {
        co_return std::unexpected{standing.error()};
    }
    ++m_statements;
    const auto sql = in["sql"].asString();
    // Before the text is looked at: a replica that has not applied the
    // session's CREATE TABLE would call a good statement bad.
    auto admitted = session.in_transaction ? result<void>{} : admit_read(in);
    if (!admitted) {
        co_return refuse(admitted.error());
    }
    auto kind = session.db.classify(sql);
    if (!kind) {
        co_return std::unexpected{kind.error()};
    }
    if (*kind == access::write && !session.in_transaction) {
        admitted = admit_write(in);
    }
    if (!admitted) {
        co_return refuse(admitted.error());
    }
    const auto& bound = in.isMember("params") ? in["params"] : Json::Value{Json::arrayValue};
    auto ran = session.db.run(sql, bound);
    if (!ran) {
        co_return std::unexpected{ran.error()};
    }
    if (*kind == access::write) {
        if (session.in_transaction) {
            session.pending.push_back(logged_statement{sql, bound});
        } else {
            append({logged_statement{sql, bound}});
        }
    }
    Json::Value out = where_written();
    out["columns"] = ran->columns;
    out["rows"] = ran->rows;
    out["changes"] = static_cast<Json::Int64>(ran->changes);
    out["in_transaction"] = session.db.in_transaction();
    out["wrote"] = *kind == access::write;
    co_await after_effect(conn);
    co_return out;
}

instance::answer instance::begin(params in, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto admitted = admit_write(in);
    if (!admitted) {
        co_return std::unexpected{admitted.error()};
    }
    auto& session = **attached;
    session.aborted = false;
    if (session.in_transaction) {
        co_return fail(errc::bad_request, "a transaction is already open on this connection");
    }
    auto opened = session.db.exec("BEGIN IMMEDIATE");
    if (!opened) {
        co_return std::unexpected{opened.error()};
    }
    session.in_transaction = true;
    session.pending.clear();
    Json::Value out;
    out["session"] = static_cast<Json::UInt64>(session.id);
    co_return out;
}

instance::answer instance::commit(params, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    auto& session = **attached;
    if (auto standing = tell_of_abort(session); !standing) {
        co_return std::unexpected{standing.error()};
    }
    if (!session.in_transaction) {
        co_return fail(errc::bad_request, "no transaction is open on this connection");
    }
    auto committed = session.db.exec("COMMIT");
    if (!committed) {
        // SQLite leaves the transaction open when COMMIT fails; left so, the
        // next caller of this pooled connection would continue it.
        session.undo();
        co_return fail(errc::not_run,
                       "commit failed and the transaction was rolled back: " + committed.error().message);
    }
    session.in_transaction = false;
    const bool wrote = !session.pending.empty();
    if (wrote) {
        append(std::move(session.pending));
        session.pending.clear();
    }
    auto out = where_written();
    out["wrote"] = wrote;
    co_await after_effect(conn);
    co_return out;
}

instance::answer instance::rollback(params, rpc::connection& conn) {
    auto attached = co_await attach(conn);
    if (!attached) {
        co_return std::unexpected{attached.error()};
    }
    (*attached)->aborted = false;
    (*attached)->undo();
    co_return Json::Value{Json::objectValue};
}

instance::answer instance::terminate(params in, rpc::connection&) {
    const auto id = in["session"].asUInt64();
    for (auto* item : m_clients) {
        if (item->id == id && item->in_transaction) {
            item->undo();
            item->aborted = true;
        }
    }
    co_return Json::Value{Json::objectValue};
}

} // namespace cornellever::backend
