#pragma once

namespace cornellever::session {

template <routing::link_connector Connector>
void statement_engine<Connector>::log_decision(event id, const statement_run& run, std::string_view server,
                                               std::string_view reason) const {
    log_event(id, "request=" + run.request.id + " database=" + run.route.database + " service=" + run.route.service +
                      " server=" + std::string{server} + " reason=" + std::string{reason} +
                      " age_ms=" + std::to_string(to_ms(boot_clock::now() - run.arrival)) +
                      " aim_ms=" + std::to_string(run.route.target_latency.count()));
}

/// What a log lacked, beside how far it has come.
template <routing::link_connector Connector>
std::string statement_engine<Connector>::describe_lag(const std::optional<sql::log_position>& floor,
                                                      const sql::reply& got) {
    const auto text = [](const std::optional<sql::log_position>& at) { return at ? sql::to_string(*at) : "-"; };
    return std::string{sql::to_string(sql::refusal::behind)} + " floor=" + text(floor) + " at=" + text(got.position);
}

template <routing::link_connector Connector>
sql::command statement_engine<Connector>::command_of(const statement_run& run) {
    sql::command out{.request_id = run.request.id, .what = run.request.what};
    if (run.prepared != nullptr) {
        out.what.name = prepared_name(*run.prepared);
    }
    return out;
}

template <routing::link_connector Connector>
routing::connection_want statement_engine<Connector>::want_of(const pool& backends, const statement_run& run,
                                                              bool needs_primary) const {
    routing::connection_want out;
    out.session = &run.session;
    out.priority = run.route.priority;
    out.primary = needs_primary || run.route.reads == routing::consistency::primary;
    if (!out.primary) {
        out.floor = backends.floor().floor(run.arrival, run.route.max_staleness, run.session.last_commit);
        // Without a sample that is recent enough nobody can say which replica
        // is fresh; the primary can still prove that it is.
        out.primary = !out.floor.has_value();
    }
    return out;
}

template <routing::link_connector Connector>
routing::time_limits statement_engine<Connector>::limits_of(const statement_run& run) {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(run.until() - boot_clock::now()),
            run.route.target_latency};
}

/// A proxy that has just started knows no position of the primary. One costs
/// no slot and a round trip; if all reads went to the primary meanwhile, its
/// slots would be taken for seconds, by many proxies at once after an outage.
template <routing::link_connector Connector>
asio::awaitable<void> statement_engine<Connector>::await_sample(pool& backends, const statement_run& run,
                                                                bool needs_primary) {
    if (needs_primary || run.route.reads == routing::consistency::primary) {
        co_return;
    }
    const auto until = boot_clock::now() + std::min(sample_wait, run.route.target_latency);
    while (!backends.floor().floor(run.arrival, run.route.max_staleness, std::nullopt) && boot_clock::now() < until) {
        backends.want_sample();
        co_await sleep_for(sample_poll);
    }
}

template <routing::link_connector Connector>
std::optional<sql::reply> statement_engine<Connector>::admit(pool& backends, const statement_run& run,
                                                             routing::connection_want& want) {
    if (want.primary && backends.path_cut()) {
        // Nothing here is going to change soon, and the caller's next try may
        // come to a proxy that reaches it.
        return refused_for_now("the path to the primary is cut", std::chrono::milliseconds{0});
    }
    const auto limits = limits_of(run);
    const auto decision = want.primary && !backends.primary_answers()
                              ? routing::admit_without_primary(limits)
                              : routing::admit(backends.outlook(want, limits), limits);
    if (!decision.admitted) {
        return refused_for_now("no connection free in time", decision.retry_after);
    }
    want.until = boot_clock::now() + decision.wait;
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
              "request=" + run.request.id + " database=" + run.route.database + " service=" + run.route.service +
                  " server=" + held.server().id + " floor=" + (floor ? sql::to_string(*floor) : "lead") +
                  " sample_ms=" + (newest == nullptr ? "-" : std::to_string(to_ms(now - newest->asked_at))) +
                  " in_flight=" + std::to_string(held->home->in_flight) + " waiting=" +
                  std::to_string(backends.waiting()) + " ran_ms=" + std::to_string(to_ms(now - held->sent_at)) +
                  " age_ms=" + std::to_string(to_ms(now - run.arrival)) +
                  " aim_ms=" + std::to_string(run.route.target_latency.count()));
}

/// A connection, or the refusal to answer with.
template <routing::link_connector Connector>
asio::awaitable<typename statement_engine<Connector>::lease>
statement_engine<Connector>::connection_for(pool& backends, const statement_run& run, routing::connection_want& want,
                                            sql::reply& refusal) {
    const auto asked = boot_clock::now();
    lease held;
    for (;;) {
        if (auto refused = admit(backends, run, want)) {
            refusal = std::move(*refused);
            co_return lease{};
        }
        held = co_await backends.acquire(want);
        // It may have begun to wait before the primary was found to be lost;
        // then there is more time than under mere load.
        if (held || !want.primary || backends.primary_answers()) {
            break;
        }
    }
    m_counters.waited_for_connection.record(boot_clock::now() - asked);
    if (!held) {
        refusal = refused_for_now("no connection in time", std::chrono::milliseconds{100});
        co_return lease{};
    }
    const auto limits = limits_of(run);
    if (!routing::worth_starting(backends.outlook(want, limits), limits.left)) {
        held.release();
        refusal = refused_for_now("too late to run", std::chrono::milliseconds{100});
        co_return lease{};
    }
    co_return held;
}

template <routing::link_connector Connector>
asio::awaitable<bool> statement_engine<Connector>::arm(pool& backends, lease& held, time_point until) {
    if (backends.armed_now(*held)) {
        co_return true;
    }
    co_return co_await backends.prove_lead(*held, until);
}

template <routing::link_connector Connector>
std::vector<sql::command> statement_engine<Connector>::batch_for(lease& held, const statement_run& run,
                                                                 const std::optional<sql::log_position>& floor,
                                                                 std::size_t& wanted) const {
    std::vector<sql::command> out;
    const bool armed = std::exchange(held->armed, false);
    if (armed && run.writes()) {
        out.push_back(sql::own(sql::statement_kind::rollback));
    }
    for (auto& item : plan_replay(run.session, held->memory, run.prepared)) {
        out.push_back({.what = std::move(item)});
    }
    wanted = out.size();
    out.push_back(command_of(run));
    if (run.writes()) {
        out.push_back(sql::own(sql::statement_kind::begin));
    } else if (armed) {
        out.push_back(sql::own(sql::statement_kind::rollback));
        out.push_back(sql::own(sql::statement_kind::begin));
    } else {
        out.back().after = floor;
    }
    return out;
}

template <routing::link_connector Connector>
asio::awaitable<routing::link_reply> statement_engine<Connector>::exchange(pool& backends, lease& held,
                                                                           std::vector<sql::command> batch,
                                                                           std::size_t wanted, time_point until) {
    auto& at = *held->home;
    held->sent_at = boot_clock::now();
    const scoped_increment running{at.in_flight};
    backends.set_awaiting(*held, true);
    auto got = co_await held->connection->exchange(std::move(batch), wanted, until);
    backends.set_awaiting(*held, false);
    if (!got) {
        backends.note_failure(at, got.error());
        log_event(event::connection_broken,
                  "server=" + at.server.id + " while=statement reason=" + std::string{routing::to_string(got.error())});
        co_return got;
    }
    backends.heard(at, boot_clock::now() - held->sent_at);
    backends.note_position(at, got->position);
    co_return got;
}

template <routing::link_connector Connector>
asio::awaitable<sql::reply> statement_engine<Connector>::run_alone(pool& backends, const statement_run& run) {
    const auto may = run.permitted();
    if (auto forbidden = forbid(run, may)) {
        co_return *forbidden;
    }
    const std::string account{may.account_name()};
    const auto account_place = routing::priority_of(run.route.priority, may.account_priority());
    co_await await_sample(backends, run, run.writes());
    auto want = want_of(backends, run, run.writes());
    want.account = account;
    want.priority = account_place;
    sql::reply out;
    for (;;) {
        auto held = co_await connection_for(backends, run, want, out);
        if (!held) {
            log_decision(event::request_refused, run, backends.primary(), out.error_text());
            break;
        }
        const bool reads_at_primary = (want.primary || held->armed) && !run.writes();
        if (reads_at_primary || (run.writes() && !backends.lead_proven())) {
            const bool armed = co_await arm(backends, held, run.until());
            if (!armed) {
                held.release();
                continue;
            }
        }
        if (auto forbidden = forbid_on(run, held)) {
            held.release();
            out = std::move(*forbidden);
            break;
        }
        std::size_t wanted = 0;
        auto batch = batch_for(held, run, want.floor, wanted);
        const auto until = run.writes() ? run.until() : std::min(run.until(), boot_clock::now() + read_try_limit);
        auto got = co_await exchange(backends, held, std::move(batch), wanted, until);
        const auto what = run.writes() ? judge_write(backends, held, run, want, got, out)
                                       : judge_read(backends, held, run, want, got, out);
        if (what == verdict::answered && out.ok()) {
            log_served(backends, held, run, want.primary ? std::nullopt : want.floor);
        }
        held.release();
        if (what == verdict::answered) {
            break;
        }
        ++m_counters.statements_retried;
    }
    out.state = sql::transaction_state::idle;
    co_return out;
}

} // namespace cornellever::session
