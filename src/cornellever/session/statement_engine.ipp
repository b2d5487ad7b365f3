#pragma once

namespace cornellever::session {

template <routing::link_connector Connector>
void statement_engine<Connector>::log_decision(event id, const statement_run& run, std::string_view server,
                                               std::string_view reason) const {
    log_event(id, "request=" + printable_word(run.request.id) + " database=" + printable_word(run.route.database) +
                      " service=" + run.route.service + " server=" + std::string{server} + " reason=" +
                      std::string{reason} + " age_ms=" + std::to_string(to_ms(boot_clock::now() - run.arrival)) +
                      " aim_ms=" + std::to_string(run.route.target_latency.count()) + describe_caller(run));
}

/// Returns the name of the request's account and the priority of its database, as text for the log. The key itself is
/// never logged.
template <routing::link_connector Connector>
std::string statement_engine<Connector>::describe_caller(const statement_run& run) {
    const auto permission = run.permitted();
    const auto account = permission.account_name();
    return " account=" + std::string{account.empty() ? "-" : account} +
           " priority=" + std::to_string(run.route.priority);
}

/// Returns the log position that a replica had to have applied (the floor) and the position that the replica had
/// reached, as text for the log.
template <routing::link_connector Connector>
std::string statement_engine<Connector>::describe_lag(const std::optional<sql::log_position>& floor,
                                                      const sql::reply& reply) {
    const auto text = [](const std::optional<sql::log_position>& position) {
        return position ? sql::to_string(*position) : "-";
    };
    return std::string{sql::to_string(sql::refusal::behind)} + " floor=" + text(floor) + " at=" + text(reply.position);
}

template <routing::link_connector Connector>
sql::command statement_engine<Connector>::command_of(const statement_run& run,
                                                     const connection_session_state& connection) {
    sql::command out{.request_id = run.request.id, .what = run.request.what};
    if (run.prepared != nullptr) {
        out.what.name = connection.prepared.at(*run.prepared);
    }
    return out;
}

template <routing::link_connector Connector>
routing::connection_request statement_engine<Connector>::pool_request_for(const pool& backends,
                                                                          const statement_run& run,
                                                                          bool needs_primary) const {
    routing::connection_request out;
    out.session = &run.session;
    out.priority = run.route.priority;
    out.primary = needs_primary || run.route.reads == routing::consistency::primary;
    if (!out.primary) {
        out.floor =
            backends.floor().floor(run.arrival, run.route.max_staleness, run.session.last_commit_at(run.route.service));
        // Without a recent freshness sample (a log position that the primary reported), no replica is known to be
        // within the staleness bound. The primary always is within the bound once it confirms its leadership, i.e. that
        // it is still the primary.
        // Nor can a request run on a replica if it is too long to be sent with the position.
        out.primary = !out.floor.has_value() || !Connector::fits(run.request, *out.floor);
    }
    return out;
}

template <routing::link_connector Connector>
routing::time_limits statement_engine<Connector>::time_limits_of(const statement_run& run) {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(run.until() - boot_clock::now()),
            run.route.target_latency};
}

/// Waits for a freshness sample, which a proxy that has just started does not have. A sample costs a round trip and no
/// execution slot of the primary. If all reads went to the primary instead, they would occupy its execution slots for
/// seconds, especially after an outage, when many proxies start at the same time.
template <routing::link_connector Connector>
asio::awaitable<void> statement_engine<Connector>::await_sample(pool& backends, const statement_run& run,
                                                                bool needs_primary) {
    if (needs_primary || run.route.reads == routing::consistency::primary) {
        co_return;
    }
    const auto until = boot_clock::now() + std::min(max_sample_wait, run.route.target_latency);
    while (!backends.floor().floor(run.arrival, run.route.max_staleness, std::nullopt) && boot_clock::now() < until) {
        backends.request_sample();
        co_await sleep_for(sample_poll_interval);
    }
}

template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::admit(pool& backends, const statement_run& run,
                                                             routing::connection_request& pool_request) {
    if (pool_request.primary && backends.path_cut()) {
        // The retry delay is 0 because the network path is not expected to recover soon, and the caller's retry may
        // arrive at a proxy that reaches the primary.
        return refused_for_now("the path to the primary is cut", std::chrono::milliseconds{0});
    }
    if (const auto wait = pool_request.primary ? backends.unproven_log_retry_after() : std::nullopt) {
        return refused_for_now("the primary's log is empty and a server that may hold the commits does not respond",
                               *wait);
    }
    if (const auto wait = pool_request.primary ? backends.no_successor_retry_after() : std::nullopt) {
        return refused_for_now("the primary is lost and no server is known to hold all acknowledged commits", *wait);
    }
    const auto limits = time_limits_of(run);
    const auto decision = pool_request.primary && !backends.primary_reachable()
                              ? routing::admit_without_primary(limits)
                              : routing::admit(backends.expected_load(pool_request, limits), limits);
    if (!decision.admitted) {
        return refused_for_now("no connection free in time", decision.retry_after);
    }
    pool_request.until = boot_clock::now() + decision.wait;
    return std::nullopt;
}

template <routing::link_connector Connector>
void statement_engine<Connector>::log_served(pool& backends, const lease& held, const statement_run& run,
                                             const std::optional<sql::log_position>& floor) const {
    if (!log_enabled(severity::info)) {
        return;
    }
    const auto now = boot_clock::now();
    const auto* newest = backends.floor().newest();
    log_event(event::request_served,
              "request=" + printable_word(run.request.id) + " database=" + printable_word(run.route.database) +
                  " service=" + run.route.service + " server=" + held.server().id +
                  " floor=" + (floor ? sql::to_string(*floor) : "lead") +
                  " sample_ms=" + (newest == nullptr ? "-" : std::to_string(to_ms(now - newest->asked_at))) +
                  " in_flight=" + std::to_string(held->server_entry->in_flight) + " waiting=" +
                  std::to_string(backends.waiting()) + " ran_ms=" + std::to_string(to_ms(now - held->sent_at)) +
                  " age_ms=" + std::to_string(to_ms(now - run.arrival)) +
                  " aim_ms=" + std::to_string(run.route.target_latency.count()) + describe_caller(run));
}

/// Returns a lease, the handle of an acquired connection. If no connection can be acquired in time, returns an empty
/// lease and sets `refusal` to the reply.
template <routing::link_connector Connector>
asio::awaitable<typename statement_engine<Connector>::lease>
statement_engine<Connector>::acquire_connection(pool& backends, const statement_run& run,
                                                routing::connection_request& pool_request, sql::reply& refusal) {
    const auto requested_at = boot_clock::now();
    lease held;
    for (;;) {
        if (auto refused = admit(backends, run, pool_request)) {
            refusal = std::move(*refused);
            co_return lease{};
        }
        held = co_await backends.acquire(pool_request);
        // If the primary became unreachable during the wait, the request is admitted again. The request may then wait
        // until another primary is found, which is longer than the permitted wait under load.
        if (held || !pool_request.primary || backends.primary_reachable()) {
            break;
        }
    }
    m_counters.connection_wait.record(boot_clock::now() - requested_at);
    if (!held) {
        refusal = refused_for_now("no connection in time", std::chrono::milliseconds{100});
        co_return lease{};
    }
    const auto limits = time_limits_of(run);
    if (!routing::has_time_to_run(backends.expected_load(pool_request, limits), limits.left)) {
        held.release();
        refusal = refused_for_now("too late to run", std::chrono::milliseconds{100});
        co_return lease{};
    }
    co_return held;
}

template <routing::link_connector Connector>
asio::awaitable<bool> statement_engine<Connector>::prime_connection(pool& backends, lease& held, time_point until) {
    if (backends.is_primed(*held)) {
        co_return true;
    }
    co_return co_await backends.confirm_leadership(*held, until);
}

template <routing::link_connector Connector>
std::vector<sql::command> statement_engine<Connector>::build_batch(lease& held, const statement_run& run,
                                                                   const std::optional<sql::log_position>& floor,
                                                                   std::size_t& reply_index) const {
    std::vector<sql::command> out;
    const bool primed = std::exchange(held->primed, false);
    if (primed && run.writes()) {
        out.push_back(sql::proxy_command(sql::statement_kind::rollback));
    }
    for (auto& item : plan_replay(run.session, held->memory, run.prepared)) {
        out.push_back({.what = std::move(item)});
    }
    reply_index = out.size();
    out.push_back(command_of(run, held->memory));
    if (run.writes()) {
        out.push_back(sql::proxy_command(sql::statement_kind::begin));
    } else if (primed) {
        out.push_back(sql::proxy_command(sql::statement_kind::rollback));
        out.push_back(sql::proxy_command(sql::statement_kind::begin));
    } else {
        out.back().after = floor;
    }
    return out;
}

template <routing::link_connector Connector>
asio::awaitable<routing::link_reply> statement_engine<Connector>::exchange(pool& backends, lease& held,
                                                                           std::vector<sql::command> batch,
                                                                           std::size_t reply_index, time_point until) {
    auto& backend = *held->server_entry;
    held->sent_at = boot_clock::now();
    const scoped_increment running{backend.in_flight};
    backends.set_awaiting_reply(*held, true);
    backend.statements.note_sent(held->sent_at);
    auto reply = co_await held->connection->exchange(std::move(batch), reply_index, until);
    backends.set_awaiting_reply(*held, false);
    if (!reply && reply.error() == routing::link_failure::not_sent) {
        backend.statements.withdraw_sent();
    } else {
        backend.statements.note_ended(reply.has_value(), boot_clock::now());
    }
    if (!reply) {
        backends.note_failure(backend, reply.error());
        log_event(event::connection_broken, "server=" + backend.server.id + " while=statement reason=" +
                                                std::string{routing::to_string(reply.error())});
        co_return reply;
    }
    const auto took = boot_clock::now() - held->sent_at;
    backends.note_reply(backend, took);
    backends.note_slot_time(backend, held->account, took);
    backends.note_position(backend, reply->position, held->sent_at);
    co_return reply;
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> statement_engine<Connector>::run_autocommit(pool& backends, const statement_run& run) {
    const auto permission = run.permitted();
    if (auto forbidden = permission_refusal(run, permission)) {
        co_return *forbidden;
    }
    const std::string account{permission.account_name()};
    const auto priority = routing::priority_of(run.route.priority, permission.account_priority());
    co_await await_sample(backends, run, run.writes());
    auto pool_request = pool_request_for(backends, run, run.writes());
    pool_request.account = account;
    pool_request.priority = priority;
    sql::reply out;
    for (;;) {
        auto held = co_await acquire_connection(backends, run, pool_request, out);
        if (!held) {
            count_refused(run);
            log_decision(event::request_refused, run, backends.primary(), out.error_text());
            break;
        }
        const bool reads_at_primary = (pool_request.primary || held->primed) && !run.writes();
        if (reads_at_primary || (run.writes() && !backends.leadership_confirmed())) {
            const bool primed = co_await prime_connection(backends, held, run.until());
            if (!primed) {
                held.release();
                continue;
            }
        }
        if (auto forbidden = permission_refusal_at_send(run, held)) {
            held.release();
            out = std::move(*forbidden);
            break;
        }
        std::size_t reply_index = 0;
        auto batch = build_batch(held, run, pool_request.floor, reply_index);
        const auto until = run.writes() ? run.until() : std::min(run.until(), boot_clock::now() + read_attempt_timeout);
        auto reply = co_await exchange(backends, held, std::move(batch), reply_index, until);
        if (const auto refusal = setup_refusal(reply, run.writes())) {
            if (!sql::server_did_not_run(refusal->why)) {
                // The server would refuse the same setup again.
                log_decision(event::request_refused, run, held.server().id,
                             "setup_" + std::string{sql::to_string(refusal->why)});
                out = refused(refusal->why, refusal->text, sql::transaction_state::idle);
                held.release();
                break;
            }
            reply->error = refusal;
        }
        const auto result = run.writes() ? handle_write_reply(backends, held, run, pool_request, reply, out)
                                         : handle_read_reply(backends, held, run, pool_request, reply, out);
        if (result == outcome::answered && out.ok()) {
            log_served(backends, held, run, pool_request.primary ? std::nullopt : pool_request.floor);
        }
        held.release();
        if (result == outcome::answered) {
            break;
        }
        ++m_counters.statements_retried;
    }
    out.state = sql::transaction_state::idle;
    co_return out;
}

} // namespace cornellever::session
