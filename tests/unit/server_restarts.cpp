#include <boost/test/unit_test.hpp>

#include "cornellever/cluster/traffic_bridge.hpp"
#include "fake_peer.hpp"
#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// A registry in which `id` was restarted at `started_at_ms`.
routing::registry registry_after_restart(const std::string& id, std::uint64_t version, std::uint64_t started_at_ms,
                                         routing::server_role role = routing::server_role::replica) {
    auto out = three_servers();
    out.version = version;
    for (auto& [name, server] : out.servers) {
        server.started_at_ms = 1000;
    }
    out.servers[id].started_at_ms = started_at_ms;
    out.servers[id].role = role;
    return out;
}

routing::registry initial_registry() {
    return registry_after_restart("p", 2, 1000, routing::server_role::primary);
}

/// Queries the status of a replica with an empty log and promotes it.
asio::awaitable<void> promote(proxy_in_memory& proxy, std::string id) {
    auto& pool = proxy.host.pool_for("stock");
    (void)co_await pool.query(id, sql::proxy_command(statement_kind::status), 100ms);
    proxy.server(id).is_primary = true;
    ++proxy.server(id).position.term;
    pool.note_promoted(id);
    co_await pool.probe(id);
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_restarts)

// Guards against reads of stale or missing data: the primary crashed and restarted
// empty under the same id before the failure was noticed, and the proxy kept
// using it because the previous process had confirmed its leadership.
BOOST_AUTO_TEST_CASE(restarted_primary_is_not_used_before_leadership_confirmation) {
    proxy_in_memory proxy;
    proxy.host.update(initial_registry());
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "2")}};
    caller.before[2] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
        proxy.host.update(registry_after_restart("p", 3, 2000));
        BOOST_TEST(proxy.host.pool_for("stock").primary() != "p");
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
}

// As above, but a peer notices the restart later: its report of the server's
// leadership dates from before the restart and arrives after it.
BOOST_AUTO_TEST_CASE(peer_report_from_before_the_restart_is_ignored) {
    proxy_in_memory proxy;
    proxy.host.update(initial_registry());
    auto& pool = proxy.host.pool_for("stock");
    const auto before = boot_clock::now();
    proxy.host.update(registry_after_restart("p", 3, 2000));
    pool.accept_peer_confirmation("p", before);
    BOOST_TEST(pool.primary().empty());
    pool.accept_peer_confirmation("p", boot_clock::now());
    BOOST_TEST(pool.primary() == "p");
}

// Guards against reads that wait forever for a connection: connections to the
// server's previous process counted against the connection budget.
BOOST_AUTO_TEST_CASE(connections_to_the_previous_process_are_replaced) {
    proxy_in_memory proxy;
    proxy.host.update(initial_registry());
    caller_script caller{.events = {opening("own"), request("w", statement_kind::write, "1 x"),
                                    request("a", statement_kind::read, "1"), request("b", statement_kind::read, "2")}};
    proxy.server("r1").position = {1, 11};
    proxy.server("r2").position = {1, 11};
    int opened_before = 0;
    caller.before[3] = [&] {
        opened_before = proxy.server("r1").connections;
        proxy.host.update(registry_after_restart("r1", 3, 2000));
        proxy.host.tick();
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[2].ok());
    BOOST_TEST(proxy.server("r1").connections > opened_before);
    for (const auto& [id, entry] : proxy.host.pool_for("stock").entries()) {
        BOOST_TEST(entry->held() <= 4U);
    }
}

// A replica that was known to lag or to be unreachable may be neither after its
// restart.
BOOST_AUTO_TEST_CASE(server_state_is_reset_on_restart) {
    proxy_in_memory proxy;
    proxy.host.update(initial_registry());
    auto& pool = proxy.host.pool_for("stock");
    auto& before = *pool.entries().at("r1");
    pool.add_sample({boot_clock::now() - 2s, {1, 8}});
    pool.add_sample({boot_clock::now() - 1s, {1, 10}});
    pool.note_position(before, sql::log_position{1, 8}, boot_clock::now());
    BOOST_TEST(before.progress.lacks({1, 10}, boot_clock::now() - 1ms, pool.floor()));
    pool.note_failure(before, routing::link_failure::silent);
    BOOST_TEST(before.unreachable());
    proxy.host.update(registry_after_restart("r1", 3, 2000));
    auto& after = *pool.entries().at("r1");
    BOOST_TEST(!after.unreachable());
    BOOST_TEST(!after.progress.lacks({1, 10}, boot_clock::now(), pool.floor()));
}

// Guards against reads of an empty database: the primary restarted with an empty
// log, was still the primary, and confirmed that to every proxy.
BOOST_AUTO_TEST_CASE(primary_that_lost_its_log_serves_no_reads) {
    proxy_in_memory proxy;
    proxy.host.update(initial_registry());
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x"),
                                    request("a", statement_kind::read, "1"), request("b", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").position = {1, 0};
        proxy.host.update(registry_after_restart("p", 3, 2000, routing::server_role::primary));
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(!caller.answers[2].ok());
    BOOST_TEST(proxy.server("p").of("b").empty());
    // Reported to the peers, so that a replica with the commits is promoted.
    const auto observation = proxy.host.pool_for("stock").observation();
    BOOST_TEST(observation.id == "p");
    BOOST_TEST(observation.unreachable);
}

// As above, but the restart went unnoticed and the registration did not change.
BOOST_AUTO_TEST_CASE(lost_log_is_detected_before_reregistration) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x"),
                                    request("a", statement_kind::read, "1"), request("b", statement_kind::read, "1"),
                                    request("c", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").position = {1, 0};
        proxy.server("p").reset_connections = true;
    };
    caller.before[4] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
        proxy.server("r1").position = {2, 11};
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 4U);
    BOOST_TEST(!caller.answers[2].ok());
    BOOST_TEST(proxy.server("p").of("b").empty());
    BOOST_TEST(caller.answers[3].ok());
    BOOST_TEST(proxy.server("r1").of("c").size() == 1U);
}

// Guards against proxies that don't use a new primary: the promoted replica lacked
// commits of the lost primary and reported its own last position, which looked
// like a truncated log. A third of all requests failed for 11 s until every proxy
// was restarted.
BOOST_AUTO_TEST_CASE(promoted_replica_without_the_last_commits_is_used) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x"),
                                    request("a", statement_kind::read, "1"), request("b", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
        proxy.server("r1").position = {1, 4};
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[2].ok());
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
    BOOST_TEST(proxy.host.pool_for("stock").primary() == "r1");
}

// Guards against reads of an empty database at a proxy that started after the primary lost its log.
BOOST_AUTO_TEST_CASE(new_proxy_does_not_read_from_primary_that_lost_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
    const auto observation = proxy.host.pool_for("stock").observation();
    BOOST_TEST(observation.id == "p");
    BOOST_TEST(observation.log_lost);
}

// Guards against a write that is acknowledged by a primary without its log and lost with the promotion.
BOOST_AUTO_TEST_CASE(new_proxy_does_not_write_to_primary_that_lost_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("w").empty());
}

// Guards against refusing a service that has no commits yet.
BOOST_AUTO_TEST_CASE(new_service_is_served_once_its_replicas_report_empty_logs) {
    proxy_in_memory proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).position = {1, 0};
    }
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers[0].ok());
    BOOST_TEST(proxy.host.pool_for("stock").primary() == "p");
}

// Guards against reads of an empty database: a replica that held the commits did not respond to a new proxy, which used
// the empty primary after a while.
BOOST_AUTO_TEST_CASE(empty_primary_is_not_used_while_a_registered_server_is_silent) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    proxy.server("r1").position = {1, 0};
    proxy.server("r2").connect_fails = routing::connect_failure::silent;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] {
        auto& primary = *proxy.host.pool_for("stock").entries().at("p");
        BOOST_TEST_REQUIRE(primary.empty_log_since.has_value());
        *primary.empty_log_since -= 60s;
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(!caller.answers[1].ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
    BOOST_TEST(proxy.server("p").of("b").empty());
}

// Guards against reads of an empty database: a proxy that starts during an outage of the store reads a registry that
// does not hold the server with the commits yet, and both servers in it have lost their logs.
BOOST_AUTO_TEST_CASE(empty_primary_is_not_used_while_servers_may_be_missing_from_the_registry) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    proxy.server("p").is_primary = true;
    proxy.server("p").position = {1, 0};
    proxy.server("r1").position = {1, 0};
    auto incomplete = three_servers();
    incomplete.servers.erase("r2");
    proxy.host.update(three_databases());
    proxy.host.update(incomplete, boot_clock::time_point{});
    proxy.host.set_proxies(make_proxies(3));
    caller_script early{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&early});
    BOOST_TEST_REQUIRE(early.answers.size() == 1U);
    BOOST_TEST(!early.answers[0].ok());
    BOOST_TEST(early.answers[0].error_text().find("retry after") != std::string::npos);
    BOOST_TEST(proxy.server("p").of("a").empty());
    auto complete = three_servers();
    complete.version = 2;
    proxy.host.update(complete);
    proxy.run_for(2600ms);
    caller_script late{.events = {opening("strict"), request("b", statement_kind::read, "1")}};
    proxy.play({&late});
    BOOST_TEST(proxy.server("p").of("b").empty());
}

// Guards against refusing a service whose log is empty for longer than a server may take to register again.
BOOST_AUTO_TEST_CASE(empty_primary_is_used_once_no_server_can_be_missing_from_the_registry) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    proxy.server("p").is_primary = true;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).position = {1, 0};
    }
    proxy.host.update(three_databases());
    proxy.host.update(three_servers(), boot_clock::time_point{});
    proxy.host.set_proxies(make_proxies(3));
    caller_script early{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&early});
    BOOST_TEST(proxy.server("p").of("a").empty());
    proxy.run_for(2600ms);
    caller_script late{.events = {opening("strict"), request("b", statement_kind::read, "1")}};
    proxy.play({&late});
    BOOST_TEST_REQUIRE(late.answers.size() == 1U);
    BOOST_TEST(late.answers[0].ok());
}

// Guards against reads of an empty database: the log of a new service was empty when its servers reported it, and the
// primary lost the commits that followed.
BOOST_AUTO_TEST_CASE(earlier_reports_of_empty_logs_do_not_count_after_a_restart) {
    proxy_in_memory proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).position = {1, 0};
    }
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] {
        for (const auto* id : {"r1", "r2"}) {
            proxy.server(id).position = {1, 7};
            proxy.server(id).reset_connections = true;
            proxy.server(id).connect_fails = routing::connect_failure::silent;
        }
        proxy.server("p").reset_connections = true;
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(caller.answers[0].ok());
    BOOST_TEST(!caller.answers[1].ok());
    BOOST_TEST(proxy.server("p").of("b").empty());
}

// Guards against a primary that is dropped whenever a connection is opened while the log of a new service is empty.
BOOST_AUTO_TEST_CASE(new_connection_to_an_empty_primary_does_not_drop_it) {
    proxy_in_memory proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).position = {1, 0};
    }
    caller_script first{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&first});
    BOOST_TEST_REQUIRE(first.answers.size() == 1U);
    BOOST_TEST(first.answers[0].ok());
    auto& pool = proxy.host.pool_for("stock");
    pool.set_budget(6, 1);
    const auto opened_before = proxy.server("p").connections;
    const auto& at = *pool.entries().at("p");
    std::vector<routing::pooled_slot<fake_link>*> older;
    for (const auto& item : at.open_connections) {
        item->busy = true;
        older.push_back(item.get());
    }
    proxy.later(20ms, [&] {
        for (auto* item : older) {
            item->busy = false;
        }
    });
    int dropped = 0;
    caller_script second{.events = {opening("strict"), request("b", statement_kind::read, "1")}};
    proxy.play_together({&second}, [&] { dropped += pool.primary().empty() ? 1 : 0; });
    BOOST_TEST(proxy.server("p").connections > opened_before);
    BOOST_TEST(dropped == 0);
    BOOST_TEST_REQUIRE(second.answers.size() == 1U);
    BOOST_TEST(second.answers[0].ok());
}

// Guards against a service that is refused for good because a server that no longer exists cannot report its log.
BOOST_AUTO_TEST_CASE(empty_primary_is_used_once_the_silent_server_is_deregistered) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    proxy.server("r1").position = {1, 0};
    proxy.server("r2").connect_fails = routing::connect_failure::silent;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] {
        auto remaining = initial_registry();
        remaining.servers.erase("r2");
        proxy.host.update(std::move(remaining));
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(caller.answers[1].ok());
}

// Guards against callers that are held until their deadline while the primary's log is known to be unproven.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_while_the_primary_log_is_unproven) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    proxy.server("r2").position = {1, 0};
    proxy.server("r1").connect_fails = routing::connect_failure::silent;
    std::vector<boot_clock::time_point> asked_at;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1"),
                                    request("c", statement_kind::write, "1 x")}};
    for (const std::size_t index : {2U, 3U, 4U}) {
        caller.before[index] = [&] { asked_at.push_back(boot_clock::now()); };
    }
    proxy.play({&caller});
    asked_at.push_back(boot_clock::now());
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    for (const auto& answer : caller.answers) {
        BOOST_TEST(!answer.ok());
    }
    BOOST_TEST(to_ms(asked_at.back() - asked_at.front()) < 100);
}

// Guards against a service that stays refused after a promotion ended its history: the promoted server's log is empty,
// and the old primary does not respond.
BOOST_AUTO_TEST_CASE(promoted_server_with_an_empty_log_is_used) {
    proxy_in_memory proxy;
    proxy.server("p").connect_fails = routing::connect_failure::silent;
    proxy.server("r1").position = {1, 0};
    proxy.server("r2").position = {1, 0};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] { asio::co_spawn(proxy.io, promote(proxy, "r1"), asio::detached); };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
}

// Guards against refusals during a later failover that name the empty log of a server that is no longer the primary.
BOOST_AUTO_TEST_CASE(unproven_log_is_forgotten_when_another_server_becomes_primary) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    proxy.server("r1").position = {1, 0};
    proxy.server("r2").connect_fails = routing::connect_failure::silent;
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1"), request("c", statement_kind::read, "1")}};
    caller.before[2] = [&] {
        proxy.server("p").is_primary = false;
        proxy.server("r1").is_primary = true;
        proxy.server("r1").position = {2, 3};
        asio::co_spawn(proxy.io, proxy.host.pool_for("stock").probe("r1"), asio::detached);
    };
    caller.before[3] = [&] {
        auto remaining = initial_registry();
        remaining.version = 3;
        remaining.servers.erase("r1");
        remaining.servers.at("p").role = routing::server_role::replica;
        proxy.host.update(std::move(remaining));
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(!caller.answers[2].ok());
    BOOST_TEST(caller.answers[0].error_text().find("log is empty") != std::string::npos);
    BOOST_TEST(caller.answers[2].error_text().find("log is empty") == std::string::npos);
}

// Guards against the use of a primary that lost its log where no replica answers, by a proxy to which a peer reported
// the primary's position.
BOOST_AUTO_TEST_CASE(primary_behind_the_position_reported_by_a_peer_is_not_used) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 3};
    proxy.server("r1").connect_fails = routing::connect_failure::refused;
    proxy.server("r2").connect_fails = routing::connect_failure::refused;
    proxy.host.note_reported_position("stock", {"p", {1, 9}});
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
}

// Guards against a peer's report that overrides what this proxy found out about the primary's log.
BOOST_AUTO_TEST_CASE(peer_report_without_position_does_not_clear_a_lost_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    auto& pool = proxy.host.pool_for("stock");
    pool.accept_peer_confirmation("p", boot_clock::now());
    BOOST_TEST(pool.primary().empty());
    BOOST_TEST(pool.observation().log_lost);
}

// Guards against an empty primary that counts as healthy because the only remaining log is of an earlier term.
BOOST_AUTO_TEST_CASE(replica_entries_of_an_earlier_term_reveal_a_lost_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {2, 0};
    proxy.server("r1").position = {1, 7};
    proxy.server("r2").position = {2, 0};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.host.pool_for("stock").observation().log_lost);
}

// Guards against a lost log that stays undetected because of the registry row of a primary that crashed before.
BOOST_AUTO_TEST_CASE(row_of_an_earlier_primary_does_not_hide_a_lost_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {2, 0};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    proxy.server("r1").connect_fails = routing::connect_failure::refused;
    proxy.host.update(registry_after_restart("r1", 5, 1000, routing::server_role::primary));
    const auto observation = proxy.host.pool_for("stock").observation();
    BOOST_TEST(observation.id == "p");
    BOOST_TEST(observation.log_lost);
}

// Guards against a log position of an earlier term as primary that makes a server unusable when it is promoted again.
BOOST_AUTO_TEST_CASE(reported_log_position_is_dropped_when_another_server_becomes_primary) {
    routing::log_high_water_mark log;
    const auto now = boot_clock::now();
    log.note("p", {1, 9}, now);
    log.note_reported_position("r1", {1, 7}, now);
    BOOST_TEST(log.is_truncated("p", {1, 8}, now + 1ms));
    log.set_primary("r1");
    BOOST_TEST(!log.is_truncated("p", {1, 8}, now + 1ms));
    BOOST_TEST(!log.highest_position_of("r1").has_value());
    log.note_reported_position("p", {1, 9}, now);
    BOOST_TEST(!log.is_truncated("p", {1, 8}, now + 1ms));
}

// Guards against endless retries of a statement at a server that confirms its leadership and refuses writes.
BOOST_AUTO_TEST_CASE(write_refused_twice_by_the_primary_is_refused_at_once) {
    proxy_in_memory proxy;
    proxy.server("p").refuse = 1000;
    proxy.server("p").refuse_with = sql::refusal::not_primary;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("w").size() <= 2U);
    BOOST_TEST(to_ms(boot_clock::now() - begun) < 250);
}

// Guards against a flood of probes and log lines for a server that confirms its leadership and refuses writes.
BOOST_AUTO_TEST_CASE(primary_that_refuses_writes_is_retried_with_backoff) {
    routing::leadership_backoff doubt;
    const auto begun = boot_clock::now();
    int taken = 0;
    for (auto now = begun; now < begun + 4s; now += 1ms) {
        if (doubt.accepts_confirmation(now)) {
            ++taken;
            doubt.note_refusal(now);
        }
    }
    BOOST_TEST(taken >= 5);
    BOOST_TEST(taken <= 12);
    doubt.clear();
    BOOST_TEST(doubt.accepts_confirmation(begun));
}

// Older servers do not report when they started, and an older row may arrive late:
// neither is a restart.
BOOST_AUTO_TEST_CASE(unknown_or_earlier_start_time_is_no_restart) {
    routing::backend_server known;
    known.started_at_ms = 2000;
    routing::backend_server other;
    BOOST_TEST(!other.started_after(known));
    BOOST_TEST(!known.started_after(other));
    other.started_at_ms = 1000;
    BOOST_TEST(!other.started_after(known));
    BOOST_TEST(known.started_after(other));
}

// Guards against a promotion that loses acknowledged commits because the only replica that had received them has left
// the registry.
BOOST_AUTO_TEST_CASE(a_removed_server_counts_until_its_log_is_covered) {
    proxy_in_memory proxy;
    cluster::traffic_bridge bridge{proxy.io.get_executor(), proxy.host};
    auto& pool = proxy.host.pool_for("stock");
    for (const auto* id : {"p", "r1"}) {
        proxy.server(id).position = {1, 30};
    }
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    auto without_r1 = three_servers();
    without_r1.version = 2;
    without_r1.servers.erase("r1");
    proxy.host.update(without_r1);
    const auto removed = [&](const std::string& id = "r1", const std::string& old = "p") {
        std::optional<cluster::replica_report> out;
        run_coroutine(proxy.io, [&]() -> asio::awaitable<void> {
            auto query = bridge.query_replicas("stock", old);
            const auto reports = co_await std::move(query);
            const auto found = std::ranges::find(reports, id, &cluster::replica_report::id);
            out = found == reports.end() ? std::nullopt : std::optional{*found};
        });
        proxy.io.restart();
        return out;
    };
    const auto before = removed();
    BOOST_TEST_REQUIRE(before.has_value());
    BOOST_TEST((!before->registered && !before->answered));
    BOOST_TEST((before->received == sql::log_position{1, 30}));
    proxy.server("r2").position = {1, 30};
    (void)removed();
    without_r1.version = 3;
    proxy.host.update(without_r1);
    BOOST_TEST(!removed().has_value());
    BOOST_TEST(pool.removed_servers().empty());
    // A server that is registered again reports itself what it holds.
    without_r1.version = 4;
    without_r1.servers.erase("r2");
    proxy.host.update(without_r1);
    BOOST_TEST(pool.removed_servers().contains("r2"));
    without_r1.version = 5;
    without_r1.servers.emplace("r2", three_servers().servers.at("r2"));
    proxy.host.update(without_r1);
    BOOST_TEST(!pool.removed_servers().contains("r2"));
    // A primary that leaves without a successor counts as well, unless it is the one that is replaced.
    without_r1.version = 6;
    without_r1.servers.erase("p");
    proxy.host.update(without_r1);
    BOOST_TEST(removed("p", "").has_value());
    BOOST_TEST(!removed("p", "p").has_value());
}

// Guards against writes that wait for their deadline although no server can replace the lost primary.
BOOST_AUTO_TEST_CASE(writes_are_refused_at_once_while_no_successor_is_suitable) {
    proxy_in_memory proxy;
    auto& pool = proxy.host.pool_for("stock");
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1"),
                                    request("w", statement_kind::write, "1 x")}};
    boot_clock::time_point asked_at;
    caller.before[2] = [&] {
        proxy.server("p").is_primary = false;
        pool.note_not_primary(*pool.entries().at("p"));
        pool.note_no_successor(boot_clock::now() + 1s);
        asked_at = boot_clock::now();
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST((caller.answers[1].why() == sql::refusal::overloaded));
    BOOST_TEST((boot_clock::now() - asked_at < 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
