#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::refusal;
using sql::statement_kind;
using sql::transaction_state;

namespace {

refusal why(const caller_script& script, std::size_t answer) {
    BOOST_TEST_REQUIRE(script.answers.size() > answer);
    BOOST_TEST_REQUIRE(script.answers[answer].error.has_value());
    return script.answers[answer].error->why;
}

bool ok(const caller_script& script, std::size_t answer) {
    BOOST_TEST_REQUIRE(script.answers.size() > answer);
    return script.answers[answer].ok();
}

/// A proxy that owns no connections and relays its sessions to fake owners.
struct relaying_proxy : proxy_in_memory {
    /// The owner that the first session tries first.
    fake_owner* owner{nullptr};

    explicit relaying_proxy(std::size_t limit = 5) {
        auto config = three_databases(2);
        config.services["stock"].max_connections = limit;
        host.update(config);
        host.set_proxies(make_proxies(20));
        const auto shared = session::allocate_connections("stock", limit, make_proxies(20));
        for (const auto& item : session::relay_order(shared, "here", 1)) {
            owners.push_back(&connector.owners[item.sessions.port()]);
        }
        owner = owners.front();
    }

    /// All owners in the order in which the first session tries them.
    std::vector<fake_owner*> owners;
};

} // namespace

BOOST_AUTO_TEST_SUITE(sessions)

BOOST_AUTO_TEST_CASE(unknown_database_is_refused_on_open) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("nowhere")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.refusals.size() == 1U);
    BOOST_TEST((caller.refusals.front().why == refusal::no_such_database));
    BOOST_TEST(!caller.accepted);
}

// Guards against stale reads at a partitioned primary after another one was
// promoted: a read pipelined behind a BEGIN that the old primary refuses would
// run there without leadership confirmation.
BOOST_AUTO_TEST_CASE(read_waits_for_leadership_confirmation) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST(ok(caller, 1));
    for (const auto* id : {"a", "b"}) {
        const auto received_statements = proxy.server("p").of(id);
        BOOST_TEST_REQUIRE(received_statements.size() == 1U);
        BOOST_TEST(received_statements.front().in_transaction);
        for (const auto& item : proxy.server("p").received_statements) {
            const bool same_packet = item.connection == received_statements.front().connection &&
                                     item.batch == received_statements.front().batch;
            if (same_packet && item.kind == statement_kind::begin) {
                // A BEGIN in the batch of a read follows it and is for the next read.
                BOOST_TEST((&item > &proxy.server("p").received_statements.front()));
            }
        }
    }
}

// As above, but the server is demoted between the confirmation and the read: the
// open transaction makes the server refuse the read.
BOOST_AUTO_TEST_CASE(read_at_demoted_primary_is_retried_at_new_primary) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    caller.before[2] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
    };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
}

// As above, but a SET before the read makes the server refuse the read as malformed.
BOOST_AUTO_TEST_CASE(read_behind_a_refused_set_runs_at_the_new_primary) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    sql::request{"s", {.kind = statement_kind::set, .name = "lang", .text = "fj"}},
                                    request("b", statement_kind::read, "2")}};
    caller.before[3] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
    };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 2));
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
}

// Guards against an unknown outcome of a transaction that was certainly rolled back: the SET before its COMMIT failed.
BOOST_AUTO_TEST_CASE(commit_behind_a_refused_set_is_aborted) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"),
                                    sql::request{"s", {.kind = statement_kind::set, .name = "lang", .text = "fj"}},
                                    request("c", statement_kind::commit)}};
    caller.before[4] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 4U);
    BOOST_TEST((caller.answers[3].why() == refusal::aborted));
}

BOOST_AUTO_TEST_CASE(read_runs_on_replica_that_reached_the_floor) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("own"), request("w", statement_kind::write, "1 x"),
                                    request("r", statement_kind::read, "1")}};
    proxy.server("r1").position = {1, 11};
    proxy.server("r2").position = {1, 11};
    caller.before[2] = [&] { proxy.host.tick(); };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(proxy.server("r1").of("r").size() + proxy.server("r2").of("r").size() == 1U);
}

// Guards against a session that misses its own write because a replica has not
// applied it yet.
BOOST_AUTO_TEST_CASE(replicas_without_the_sessions_commit_are_skipped) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("own"), request("w", statement_kind::write, "1 x"),
                                    request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(caller.answers[1].signature == "sig-r");
    BOOST_TEST((caller.answers[1].position.value() >= sql::log_position{1, 11}));
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

// Guards against a read that breaks connections to replicas because the position makes its message too long.
BOOST_AUTO_TEST_CASE(read_that_leaves_no_room_for_a_position_runs_on_the_primary) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("own"), request("w", statement_kind::write, "1 x"),
                                    request("r", statement_kind::read, std::string{fake_connector::long_item})}};
    proxy.server("r1").position = {1, 11};
    proxy.server("r2").position = {1, 11};
    caller.before[2] = [&] { proxy.host.tick(); };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

// Guards against a session that prevents its own statements: the values and prepared statements that it has stored are
// more than a connection buffers.
BOOST_AUTO_TEST_CASE(session_state_is_bounded) {
    session::session_state state;
    const std::string half(session::session_state::max_stored_bytes / 2, 'x');
    BOOST_TEST(state.set_value("a", half));
    BOOST_TEST(!state.set_value("b", half));
    BOOST_TEST(!state.prepare("p", {sql::access::read, half}));
    BOOST_TEST(state.values.size() == 1U);
    BOOST_TEST(state.set_value("a", half));
    BOOST_TEST(state.set_value("a", ""));
    BOOST_TEST(state.prepare("p", {sql::access::read, half}));
    BOOST_TEST(state.deallocate("p"));
    BOOST_TEST(!state.deallocate("p"));
    BOOST_TEST(state.set_value("b", half));
    std::size_t stored = 0;
    while (state.set_value("n" + std::to_string(stored), "")) {
        ++stored;
    }
    BOOST_TEST(stored < session::session_state::max_stored_bytes / 64);
}

// Guards against a write that takes effect twice: it ran, its reply was lost, and
// the proxy retried it.
BOOST_AUTO_TEST_CASE(write_with_lost_reply_is_not_retried) {
    proxy_in_memory proxy;
    proxy.server("p").lose_answers = 1;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST((why(caller, 0) == refusal::outcome_unknown));
    BOOST_TEST(proxy.server("p").of("w").size() == 1U);
}

BOOST_AUTO_TEST_CASE(write_refused_before_execution_is_retried_at_new_primary) {
    proxy_in_memory proxy;
    proxy.server("p").is_primary = false;
    proxy.server("r2").is_primary = true;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST(proxy.server("r2").of("w").size() == 1U);
}

BOOST_AUTO_TEST_CASE(read_with_lost_reply_is_retried_on_another_server) {
    proxy_in_memory proxy;
    caller_script caller{
        .events = {opening("fresh"), request("w", statement_kind::read, "0"), request("a", statement_kind::read, "1")}};
    caller.before[2] = [&] {
        proxy.server("r1").lose_answers = 1;
        proxy.server("r2").lose_answers = 1;
    };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(caller.answers[1].signature == "sig-a");
}

// Guards against requests that wait 0.8 s although the server is idle: a reply was
// lost, and the only connection stayed in use until that statement's timeout.
BOOST_AUTO_TEST_CASE(lost_reply_does_not_block_queued_requests) {
    proxy_in_memory proxy;
    proxy.host.set_proxies(make_proxies(8));
    proxy.server("p").silent_for = 250ms;
    caller_script first{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    first.before[1] = [&] { proxy.server("p").lose_answers = 1; };
    caller_script second{.events = {opening("strict"), request("r", statement_kind::read, "1")}};
    for (int i = 0; i < 40; ++i) {
        proxy.later(std::chrono::milliseconds{10 * i}, [&] { proxy.host.tick(); });
    }
    // The target latency is longer than the time after which a reply is overdue.
    auto config = three_databases(2);
    config.routes.at("strict").target_latency = 250ms;
    proxy.host.update(config);
    boot_clock::time_point answered{};
    const auto begun = boot_clock::now();
    proxy.play_together({&first, &second}, [&] {
        if (!second.answers.empty() && answered == boot_clock::time_point{}) {
            answered = boot_clock::now();
        }
    });
    BOOST_TEST((why(first, 0) == refusal::outcome_unknown));
    BOOST_TEST(ok(second, 0));
    BOOST_TEST((answered - begun < 240ms), to_ms(answered - begun) << " ms");
}

// Guards against one caller's writes being committed by another: a transaction
// failed half-way, and its connection was reused with the transaction open.
BOOST_AUTO_TEST_CASE(failed_transaction_is_rolled_back_and_refuses_statements_until_ended) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"),
                                    request("v", statement_kind::write, "2 x"), request("r", statement_kind::read, "1"),
                                    request("c", statement_kind::commit), request("z", statement_kind::read, "3")}};
    caller.before[3] = [&] { proxy.server("p").refuse = 1; };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST((why(caller, 2) == refusal::aborted));
    BOOST_TEST((caller.answers[2].state == transaction_state::failed));
    BOOST_TEST((why(caller, 3) == refusal::malformed));
    BOOST_TEST((why(caller, 4) == refusal::aborted));
    BOOST_TEST((caller.answers[4].state == transaction_state::idle));
    BOOST_TEST(ok(caller, 5));
    BOOST_TEST(proxy.server("p").count(statement_kind::commit) == 0U);
}

// Guards against reporting a commit as not run when it ran and its reply was lost.
BOOST_AUTO_TEST_CASE(commit_without_reply_has_unknown_outcome_unless_read_only) {
    proxy_in_memory proxy;
    caller_script writer{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"), request("c", statement_kind::commit)}};
    writer.before[3] = [&] { proxy.server("p").lose_answers = 1; };
    caller_script reader{.events = {opening("strict"), request("b2", statement_kind::begin),
                                    request("r", statement_kind::read, "1"), request("c2", statement_kind::commit)}};
    reader.before[3] = [&] { proxy.server("p").lose_answers = 1; };
    proxy.play({&writer, &reader});
    BOOST_TEST((why(writer, 2) == refusal::outcome_unknown));
    BOOST_TEST((why(reader, 2) == refusal::aborted));
}

BOOST_AUTO_TEST_CASE(transaction_is_rolled_back_when_caller_disconnects) {
    proxy_in_memory proxy;
    caller_script caller{
        .events = {opening("strict"), request("b", statement_kind::begin), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    const auto& received_statements = proxy.server("p").received_statements;
    const auto write = std::ranges::find_if(received_statements, [](const auto& item) { return item.id == "w"; });
    BOOST_TEST_REQUIRE((write != received_statements.end()));
    const auto rolled_back = std::find_if(write, received_statements.end(), [&](const auto& item) {
        return item.kind == statement_kind::rollback && item.connection == write->connection;
    });
    BOOST_TEST((rolled_back != received_statements.end()));
}

// Guards against a caller that is idle in a transaction and keeps a connection
// from all others.
BOOST_AUTO_TEST_CASE(idle_transaction_is_rolled_back_after_timeout) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"), session::caller_timed_out{},
                                    request("v", statement_kind::write, "2 x"),
                                    request("c", statement_kind::rollback)}};
    proxy.play({&caller});
    BOOST_TEST((why(caller, 2) == refusal::malformed));
    BOOST_TEST(ok(caller, 3));
    BOOST_TEST(proxy.server("p").of("v").empty());
}

// Guards against a session that runs with the settings of the caller that used
// its connection before.
BOOST_AUTO_TEST_CASE(connection_has_exactly_the_values_of_its_session) {
    proxy_in_memory proxy;
    proxy.host.set_proxies(make_proxies(11));
    caller_script first{.events = {opening("strict"), request("s1", statement_kind::set, "a1", "alpha"),
                                   request("s2", statement_kind::set, "b1", "beta"),
                                   request("r1", statement_kind::read, "1")}};
    caller_script second{.events = {opening("strict"), request("s3", statement_kind::set, "a2", "alpha"),
                                    request("r2", statement_kind::read, "1")}};
    proxy.play({&first, &second});
    const auto first_read = proxy.server("p").of("r1");
    const auto second_read = proxy.server("p").of("r2");
    BOOST_TEST_REQUIRE(first_read.size() == 1U);
    BOOST_TEST_REQUIRE(second_read.size() == 1U);
    BOOST_TEST(first_read.front().connection == second_read.front().connection);
    BOOST_TEST(first_read.front().values.size() == 2U);
    BOOST_TEST(second_read.front().values.size() == 1U);
    BOOST_TEST(second_read.front().values.at("alpha") == "a2");
}

// Guards against a request that is routed by the newer configuration and runs in
// a transaction opened under the older one, to which the server attributes it.
BOOST_AUTO_TEST_CASE(transaction_opened_under_older_configuration_is_not_used) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    std::size_t begun_before = 0;
    caller.before[2] = [&] {
        proxy.host.update(three_databases(2));
        begun_before = proxy.server("p").received_statements.size();
    };
    proxy.play({&caller});
    const auto& received_statements = proxy.server("p").received_statements;
    const auto read = std::ranges::find_if(received_statements, [](const auto& item) { return item.id == "b"; });
    BOOST_TEST_REQUIRE((read != received_statements.end()));
    const auto opened = std::find_if(
        received_statements.begin() + static_cast<std::ptrdiff_t>(begun_before), read,
        [&](const auto& item) { return item.kind == statement_kind::begin && item.connection == read->connection; });
    BOOST_TEST((opened != read));
}

BOOST_AUTO_TEST_CASE(removed_database_is_refused_from_next_statement) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    caller.before[2] = [&] {
        auto config = three_databases(2);
        config.routes.erase("strict");
        proxy.host.update(config);
    };
    proxy.play({&caller});
    BOOST_TEST((why(caller, 1) == refusal::no_such_database));
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored) {
    proxy_in_memory proxy;
    proxy.host.update(three_databases(5));
    auto older = three_databases(4);
    older.routes.clear();
    proxy.host.update(older);
    BOOST_TEST(proxy.host.config().version == 5U);
    BOOST_TEST(proxy.host.config().routes.size() == 3U);
}

// Guards against requests without a reply at a planned stop: the request arrived
// just as its session was closed as idle, ran, and its reply could not be sent.
BOOST_AUTO_TEST_CASE(planned_stop_answers_received_requests_before_closing) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    caller.before[1] = [&] { proxy.host.close_idle_sessions(); };
    proxy.play({&caller});
    BOOST_TEST(caller.answers.size() == 2U);
    BOOST_TEST(caller.closed);
}

// Guards against interrupted requests at a planned stop: an idle session was
// closed while a request was in transit. Right after a reply there can be none.
// Guards against new sessions at a proxy that is being stopped: it still reported that it was ready.
BOOST_AUTO_TEST_CASE(proxy_is_not_ready_once_its_stop_is_announced) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    BOOST_TEST(!proxy.host.ready());
    proxy.configure();
    BOOST_TEST(proxy.host.ready());
    proxy.host.announce_stop();
    BOOST_TEST(!proxy.host.ready());
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
}

BOOST_AUTO_TEST_CASE(planned_stop_closes_session_after_next_reply) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    caller.before[1] = [&] { proxy.host.close_after_answer(); };
    proxy.play({&caller});
    BOOST_TEST(caller.answers.size() == 1U);
    BOOST_TEST(caller.closed);
    BOOST_TEST(caller.taken == 2U);
}

BOOST_AUTO_TEST_CASE(planned_stop_aborts_transactions_at_next_statement) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"),
                                    request("v", statement_kind::write, "2 x")}};
    caller.before[3] = [&] { proxy.host.abort_transactions(); };
    proxy.play({&caller});
    BOOST_TEST((why(caller, 2) == refusal::aborted));
}

// Guards against refusing requests at the start of a failover although there is
// time to wait for the new primary: they began to wait before the old one was
// known to be lost, for at most their target latency.
BOOST_AUTO_TEST_CASE(request_keeps_waiting_during_failover) {
    proxy_in_memory proxy;
    proxy.server("p").connect_fails = routing::connect_failure::refused;
    proxy.server("p").is_primary = false;
    proxy.server("r1").is_primary = true;
    asio::steady_timer promoted{proxy.io, 150ms};
    promoted.async_wait([&](const boost::system::error_code&) {
        auto servers = three_servers();
        servers.version = 2;
        servers.servers["p"].role = routing::server_role::replica;
        servers.servers["r1"].role = routing::server_role::primary;
        proxy.host.update(servers);
    });
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST(proxy.server("r1").of("w").size() == 1U);
}

// Guards against a caller that waits until its timeout although no server can run
// its request.
BOOST_AUTO_TEST_CASE(write_without_primary_is_refused_with_retry_after) {
    proxy_in_memory proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).is_primary = false;
    }
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST((why(caller, 0) == refusal::overloaded));
    BOOST_TEST(caller.answers[0].error->text.find("retry after") != std::string::npos);
}

// Guards against refusing most sessions while the servers are idle: there are more
// proxies than connections that a server accepts, and each proxy held at most one.
BOOST_AUTO_TEST_CASE(non_owner_relays_to_connection_owner) {
    proxy_in_memory proxy;
    auto config = three_databases(2);
    config.services["stock"].max_connections = 5;
    proxy.host.update(config);
    const auto shared = session::allocate_connections("stock", 5, make_proxies(20));
    BOOST_TEST_REQUIRE(shared.owners.size() == 1U);
    BOOST_TEST_REQUIRE(!shared.owns("a"));
    proxy.host.set_proxies(make_proxies(20));
    auto& owner = proxy.connector.owners[shared.owners.front().sessions.port()];
    owner.answers = 3;
    caller_script caller{.events = {opening("strict"), request("r", statement_kind::read, "1"),
                                    request("b", statement_kind::begin), request("w", statement_kind::write, "1 x"),
                                    request("c", statement_kind::commit)}};
    proxy.play({&caller});
    BOOST_TEST(caller.answers[0].signature == "owner-r");
    BOOST_TEST(proxy.server("p").received_statements.empty());
    // The owner disconnects before it replies to the commit, which may have run.
    BOOST_TEST((why(caller, 3) == refusal::outcome_unknown));
    // A session relayed by another proxy is executed locally.
    caller_script relayed{
        .events = {session::session_opening{"strict", true}, request("q", statement_kind::read, "1")}};
    proxy.play({&relayed});
    BOOST_TEST(proxy.server("p").of("q").size() == 1U);
}

// Guards against 100 ms of extra latency through a proxy without connections: each
// of a session's eight values and prepared statements waited for a reply of the
// owner, which shares the CPU of a small VM.
BOOST_AUTO_TEST_CASE(session_state_requests_do_not_wait_for_the_owner) {
    relaying_proxy proxy;
    caller_script caller{.events = {opening("strict"), request("s", statement_kind::set, "1"),
                                    request("p", statement_kind::prepare, "q"), request("b", statement_kind::begin),
                                    request("r", statement_kind::read, "1")}};
    proxy.owner->answers = 0;
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST(ok(caller, 1));
    BOOST_TEST(ok(caller, 2));
    BOOST_TEST((caller.answers[2].state == transaction_state::open));
    // The owner was unreachable throughout; the transaction is rolled back.
    BOOST_TEST((why(caller, 3) == refusal::aborted));
    BOOST_TEST((caller.answers[3].state == transaction_state::failed));
}

// Guards against statements that run outside the transaction that their caller
// was told is open, so that two reads see different states: the owner did not
// know the database any more and refused the BEGIN that had been acknowledged.
BOOST_AUTO_TEST_CASE(no_statement_runs_after_owner_refused_begin) {
    relaying_proxy proxy;
    proxy.owner->refuses_forwarded = true;
    caller_script caller{.events = {opening("strict"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"), request("c", statement_kind::commit)}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST((why(caller, 1) == refusal::aborted));
    BOOST_TEST((why(caller, 2) == refusal::aborted));
    BOOST_TEST(proxy.owner->asked == std::vector<std::string>{"b"}, boost::test_tools::per_element());
}

// Guards against closing hundreds of callers' connections when a connection owner
// is stopped, after which all of them open new sessions at once. The sessions
// continue at another owner, which needs their values and the position of their
// last commit, or they would miss their own writes.
BOOST_AUTO_TEST_CASE(idle_session_continues_at_another_owner) {
    relaying_proxy proxy{8};
    BOOST_TEST_REQUIRE(proxy.owners.size() >= 2U);
    proxy.owners[0]->position = sql::log_position{3, 77};
    proxy.owners[0]->answers = 3;
    caller_script caller{.events = {opening("own"), request("s", statement_kind::set, "1", "zone"),
                                    request("p", statement_kind::prepare, "q", "n"),
                                    request("w", statement_kind::write, "1 x"),
                                    request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 2));
    BOOST_TEST(caller.answers[2].signature == "owner-w");
    BOOST_TEST(ok(caller, 3));
    BOOST_TEST_REQUIRE(proxy.owners[1]->opened_after.size() == 1U);
    BOOST_TEST((proxy.owners[1]->opened_after.front() == sql::log_position{3, 77}));
    // The value, the prepared statement, and the read.
    BOOST_TEST(proxy.owners[1]->asked.size() == 3U);
    BOOST_TEST(proxy.owners[1]->asked.back() == "r");
}

// As above, for a commit that ended a transaction.
BOOST_AUTO_TEST_CASE(commit_position_is_passed_to_next_owner) {
    relaying_proxy proxy{8};
    proxy.owners[0]->position = sql::log_position{3, 78};
    proxy.owners[0]->answers = 3;
    caller_script caller{.events = {opening("own"), request("b", statement_kind::begin),
                                    request("w", statement_kind::write, "1 x"), request("c", statement_kind::commit),
                                    request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 2));
    BOOST_TEST(ok(caller, 3));
    BOOST_TEST_REQUIRE(proxy.owners[1]->opened_after.size() == 1U);
    BOOST_TEST((proxy.owners[1]->opened_after.front() == sql::log_position{3, 78}));
}

// Guards against statements that run without some of their session's values: more of them than a peer is sent at once
// were replayed in part.
BOOST_AUTO_TEST_CASE(session_with_too_many_values_for_a_peer_runs_with_all_of_them) {
    for (const auto count : {fake_relay::max_pending - 1, fake_relay::max_pending, fake_relay::max_pending + 1}) {
        relaying_proxy proxy;
        caller_script caller{.events = {opening("strict")}};
        for (std::size_t i = 0; i < count; ++i) {
            caller.events.push_back(request("s", statement_kind::set, "1", "v" + std::to_string(i)));
        }
        caller.events.push_back(request("b", statement_kind::begin));
        caller.events.push_back(request("r", statement_kind::read, "1"));
        proxy.play({&caller});
        BOOST_TEST(ok(caller, count + 1));
        const auto local = proxy.server("p").of("r");
        const bool relayed = count < fake_relay::max_pending;
        BOOST_TEST(proxy.owner->asked.size() == (relayed ? count + 2 : 0U));
        BOOST_TEST_REQUIRE(local.size() == (relayed ? 0U : 1U));
        BOOST_TEST((relayed || local.back().values.size() == count));
    }
}

// Guards against refusals (one request in thirty) long after a partition has
// ended: proxies that had executed operations while the owners were unreachable
// kept their connections, and the servers' connection limits were exhausted.
BOOST_AUTO_TEST_CASE(non_owner_closes_unused_connections) {
    relaying_proxy proxy;
    proxy.connector.owners.clear();
    caller_script caller{.events = {opening("strict"), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    const auto held = [&] {
        std::size_t out = 0;
        for (const auto& [id, entry] : proxy.host.pool_for("stock").entries()) {
            out += entry->held();
        }
        return out;
    };
    BOOST_TEST(held() > 0U);
    proxy.run_for(1300ms);
    BOOST_TEST(held() == 0U);
    BOOST_TEST(!proxy.host.pool_for("stock").used());
}

// Most sessions open and wait; these must not use resources of an owner.
BOOST_AUTO_TEST_CASE(owner_is_contacted_only_for_executed_statements) {
    relaying_proxy proxy;
    caller_script caller{.events = {opening("strict"), request("s", statement_kind::set, "1", "zone"),
                                    request("p", statement_kind::prepare, "q", "n"),
                                    request("b", statement_kind::begin), request("x", statement_kind::rollback)}};
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 3));
    BOOST_TEST(proxy.owner->opened_after.empty());
}

// Guards against refusing two fifths of the requests permanently after an outage
// of all proxies: the first sessions stayed at proxies that own no connections.
BOOST_AUTO_TEST_CASE(session_moves_to_owner_once_owners_are_known) {
    proxy_in_memory proxy;
    auto config = three_databases(2);
    config.services["stock"].max_connections = 5;
    proxy.host.update(config);
    const auto shared = session::allocate_connections("stock", 5, make_proxies(20));
    auto& owner = proxy.connector.owners[shared.owners.front().sessions.port()];
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] { proxy.host.set_proxies(make_proxies(20)); };
    proxy.play({&caller});
    BOOST_TEST(ok(caller, 0));
    BOOST_TEST(proxy.server("p").of("a").size() == 1U);
    BOOST_TEST(owner.asked == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    BOOST_TEST(caller.answers[1].signature == "owner-b");
}

// Guards against a crash of the proxy when a database is removed while one of its
// sessions waits for the membership list.
BOOST_AUTO_TEST_CASE(database_removed_while_request_waits_is_refused) {
    proxy_in_memory proxy;
    proxy.host.set_proxies({});
    asio::steady_timer removed{proxy.io, 50ms};
    removed.async_wait([&](const boost::system::error_code&) {
        auto config = three_databases(2);
        config.routes.erase("strict");
        proxy.host.update(config);
        proxy.host.set_proxies(make_proxies(20));
    });
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST((why(caller, 0) == refusal::no_such_database));
}

BOOST_AUTO_TEST_CASE(ownership_is_deterministic_and_spread_over_data_centres) {
    const auto shared = session::allocate_connections("stock", 22, make_proxies(20));
    BOOST_TEST(shared.owners.size() == 5U);
    BOOST_TEST(2 * shared.owners.size() * shared.connections_each <= 22U);
    auto reversed = make_proxies(20);
    std::ranges::reverse(reversed);
    BOOST_TEST((session::allocate_connections("stock", 22, reversed).owners == shared.owners));
    const auto here = std::ranges::count(shared.owners, "here", &session::proxy_node::data_center);
    BOOST_TEST(here == 3);
    const auto order = session::relay_order(shared, "there", 7);
    BOOST_TEST(order.size() == 5U);
    BOOST_TEST(order.front().data_center == "there");
    // One proxy more moves at most two owners.
    const auto with_one_more = session::allocate_connections("stock", 22, make_proxies(21));
    std::size_t kept = 0;
    for (const auto& item : shared.owners) {
        kept += with_one_more.owns(item.name) ? 1 : 0;
    }
    BOOST_TEST(kept >= 4U);
    BOOST_TEST(session::allocate_connections("stock", 16, make_proxies(7)).owners.empty());
}

// Guards against owners that grow with the services: with a thousand services, each proxy owned eight
// on average, so that most requests opened a new connection and waited for it.
BOOST_AUTO_TEST_CASE(many_services_have_fewer_owners_each) {
    const auto owners = [](std::size_t proxies, std::size_t services) {
        return session::allocate_connections("stock", 184, make_proxies(proxies), services).owners.size();
    };
    BOOST_TEST(owners(195, 20) == 8U);
    BOOST_TEST(owners(200, 40) == 5U);
    BOOST_TEST(owners(200, 200) == 3U);
    BOOST_TEST(owners(200, 1000) == 3U);
    const auto few = session::allocate_connections("stock", 184, make_proxies(200), 200);
    BOOST_TEST(few.owners.size() * few.connections_each <= 92U);
    BOOST_TEST(few.owners.size() * few.connections_each_under_load <= 161U);
}

BOOST_AUTO_TEST_SUITE_END()
