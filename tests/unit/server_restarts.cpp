#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// The registry in which `id` started again at `born_ms`.
routing::registry reborn(const std::string& id, std::uint64_t version, std::uint64_t born_ms,
                         routing::server_role role = routing::server_role::replica) {
    auto out = three_servers();
    out.version = version;
    for (auto& [name, server] : out.servers) {
        server.born_ms = 1000;
    }
    out.servers[id].born_ms = born_ms;
    out.servers[id].role = role;
    return out;
}

routing::registry as_begun() {
    return reborn("p", 2, 1000, routing::server_role::primary);
}

} // namespace

BOOST_AUTO_TEST_SUITE(rebirth)

// A grower is shown readings of last week: the primary crashed and started
// again under its id, with nothing in it, before anybody missed it. The proxy
// went on taking it for the primary that had proved its lead a moment before.
BOOST_AUTO_TEST_CASE(a_primary_that_started_again_is_not_the_primary_until_it_proves_so) {
    proxy_in_memory proxy;
    proxy.host.update(as_begun());
    caller_script caller{
        .events = {opening("strict"), ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "2")}};
    caller.before[2] = [&] {
        proxy.server("p").leads = false;
        proxy.server("r1").leads = true;
        proxy.host.update(reborn("p", 3, 2000));
        BOOST_TEST(proxy.host.pool_for("stock").primary() != "p");
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 2U);
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
}

// As above, but another proxy has seen the rebirth later: its word that the
// server leads is from before, and comes after.
BOOST_AUTO_TEST_CASE(a_peers_word_from_before_the_rebirth_does_not_count) {
    proxy_in_memory proxy;
    proxy.host.update(as_begun());
    auto& pool = proxy.host.pool_for("stock");
    const auto before = boot_clock::now();
    proxy.host.update(reborn("p", 3, 2000));
    pool.believe("p", before);
    BOOST_TEST(pool.primary().empty());
    pool.believe("p", boot_clock::now());
    BOOST_TEST(pool.primary() == "p");
}

// Every read of a session waits for a connection that is never handed back:
// the connections to the server's process before counted against the budget.
BOOST_AUTO_TEST_CASE(connections_to_the_process_before_are_closed_and_new_ones_opened) {
    proxy_in_memory proxy;
    proxy.host.update(as_begun());
    caller_script caller{.events = {opening("own"), ask("w", statement_kind::write, "1 x"),
                                    ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "2")}};
    proxy.server("r1").position = {1, 11};
    proxy.server("r2").position = {1, 11};
    int opened_before = 0;
    caller.before[3] = [&] {
        opened_before = proxy.server("r1").connections;
        proxy.host.update(reborn("r1", 3, 2000));
        proxy.host.tick();
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[2].ok());
    BOOST_TEST(proxy.server("r1").connections > opened_before);
    for (const auto& [id, at] : proxy.host.pool_for("stock").entries()) {
        BOOST_TEST(at->held() <= 4U);
    }
}

// A replica was known to lack a position, or to be slow, before it started
// again: none of that is true of it now.
BOOST_AUTO_TEST_CASE(nothing_that_was_known_of_a_server_outlives_its_process) {
    proxy_in_memory proxy;
    proxy.host.update(as_begun());
    auto& pool = proxy.host.pool_for("stock");
    auto& before = *pool.entries().at("r1");
    pool.add_sample({boot_clock::now() - 2s, {1, 8}});
    pool.add_sample({boot_clock::now() - 1s, {1, 10}});
    pool.note_position(before, sql::log_position{1, 8});
    BOOST_TEST(before.progress.lacks({1, 10}, boot_clock::now() - 1ms, pool.floor()));
    pool.note_failure(before, routing::link_failure::silent);
    BOOST_TEST(before.unreachable());
    proxy.host.update(reborn("r1", 3, 2000));
    auto& after = *pool.entries().at("r1");
    BOOST_TEST(!after.unreachable());
    BOOST_TEST(!after.progress.lacks({1, 10}, boot_clock::now(), pool.floor()));
}

// A grower is shown an empty register: the primary had started again with
// nothing in its log, still led, and proved so to every proxy that asked.
BOOST_AUTO_TEST_CASE(a_primary_without_its_log_is_not_read_from) {
    proxy_in_memory proxy;
    proxy.host.update(as_begun());
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x"),
                                    ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").position = {1, 0};
        proxy.host.update(reborn("p", 3, 2000, routing::server_role::primary));
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[1].ok());
    BOOST_TEST(!caller.answers[2].ok());
    BOOST_TEST(proxy.server("p").of("b").empty());
    // What the others are told, so that one with the commits is promoted.
    const auto sight = proxy.host.pool_for("stock").sight();
    BOOST_TEST(sight.id == "p");
    BOOST_TEST(sight.unreachable);
}

// As above, and nobody had noticed that it was away: no registration changed.
BOOST_AUTO_TEST_CASE(a_shorter_log_shows_also_before_the_registration_tells) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x"),
                                    ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "1"),
                                    ask("c", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").position = {1, 0};
        proxy.server("p").reset_connections = true;
    };
    caller.before[4] = [&] {
        proxy.server("p").leads = false;
        proxy.server("r1").leads = true;
        proxy.server("r1").position = {2, 11};
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 4U);
    BOOST_TEST(!caller.answers[2].ok());
    BOOST_TEST(proxy.server("p").of("b").empty());
    BOOST_TEST(caller.answers[3].ok());
    BOOST_TEST(proxy.server("r1").of("c").size() == 1U);
}

// A third of all requests failed for 11 s until every proxy was started again:
// the replica that was promoted had lacked commits of the primary that was
// lost, and named as its position the last entry that it had. That looked like
// a log that had got shorter, and nobody used the new primary.
BOOST_AUTO_TEST_CASE(a_replica_that_was_promoted_without_the_last_commits_is_used) {
    proxy_in_memory proxy;
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x"),
                                    ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "1")}};
    caller.before[3] = [&] {
        proxy.server("p").leads = false;
        proxy.server("r1").leads = true;
        proxy.server("r1").position = {1, 4};
    };
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers[2].ok());
    BOOST_TEST(proxy.server("r1").of("b").size() == 1U);
    BOOST_TEST(proxy.host.pool_for("stock").primary() == "r1");
}

// Guards against reads of an empty database at a proxy that started after the primary lost its log.
BOOST_AUTO_TEST_CASE(a_proxy_that_starts_later_does_not_use_a_primary_without_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
    const auto sight = proxy.host.pool_for("stock").sight();
    BOOST_TEST(sight.id == "p");
    BOOST_TEST(sight.log_lost);
}

// Guards against a write that is acknowledged by a primary without its log and lost with the promotion.
BOOST_AUTO_TEST_CASE(a_proxy_that_starts_later_writes_nothing_to_a_primary_without_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("w").empty());
}

// Guards against refusing a service that has no commits yet.
BOOST_AUTO_TEST_CASE(a_new_service_is_served_as_soon_as_its_replicas_say_that_they_are_empty) {
    proxy_in_memory proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).position = {1, 0};
    }
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers[0].ok());
    BOOST_TEST(proxy.host.pool_for("stock").primary() == "p");
}

// Guards against the use of an empty primary by a proxy that another one told of its commits, where no replica answers.
BOOST_AUTO_TEST_CASE(a_proxy_that_was_told_of_commits_does_not_use_a_primary_that_lacks_them) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 3};
    proxy.server("r1").connect_fails = routing::connect_failure::refused;
    proxy.server("r2").connect_fails = routing::connect_failure::refused;
    proxy.host.note_told("stock", {"p", {1, 9}});
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
}

// Guards against a peer's word that undoes what this proxy found out about the primary's log.
BOOST_AUTO_TEST_CASE(a_peer_that_knows_no_position_does_not_bring_back_a_primary_without_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {1, 0};
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    auto& pool = proxy.host.pool_for("stock");
    pool.believe("p", boot_clock::now());
    BOOST_TEST(pool.primary().empty());
    BOOST_TEST(pool.sight().log_lost);
}

// Guards against an empty primary that counts as healthy because the only log left is of an earlier term.
BOOST_AUTO_TEST_CASE(entries_of_an_earlier_term_show_that_an_empty_primary_lost_its_log) {
    proxy_in_memory proxy;
    proxy.server("p").position = {2, 0};
    proxy.server("r1").position = {1, 7};
    proxy.server("r2").position = {2, 0};
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.host.pool_for("stock").sight().log_lost);
}

// Guards against a finding that is hidden by the row of a primary that crashed before.
BOOST_AUTO_TEST_CASE(an_older_primarys_row_does_not_hide_that_the_log_was_lost) {
    proxy_in_memory proxy;
    proxy.server("p").position = {2, 0};
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    proxy.server("r1").connect_fails = routing::connect_failure::refused;
    proxy.host.update(reborn("r1", 5, 1000, routing::server_role::primary));
    const auto sight = proxy.host.pool_for("stock").sight();
    BOOST_TEST(sight.id == "p");
    BOOST_TEST(sight.log_lost);
}

// Guards against a record of an earlier lead that makes a server unusable when it leads again.
BOOST_AUTO_TEST_CASE(what_a_server_named_while_it_led_counts_until_another_one_leads) {
    routing::leader_log log;
    const auto now = boot_clock::now();
    log.note("p", {1, 9}, now);
    log.note_told("r1", {1, 7}, now);
    BOOST_TEST(log.shorter_at("p", {1, 8}, now + 1ms));
    log.note_leader("r1");
    BOOST_TEST(!log.shorter_at("p", {1, 8}, now + 1ms));
    BOOST_TEST(!log.furthest_of("r1").has_value());
    log.note_told("p", {1, 9}, now);
    BOOST_TEST(!log.shorter_at("p", {1, 8}, now + 1ms));
}

// Guards against a statement that is sent again without end to a server that proves its lead and refuses writes.
BOOST_AUTO_TEST_CASE(a_write_that_the_primary_refuses_twice_is_refused_at_once) {
    proxy_in_memory proxy;
    proxy.server("p").refuse = 1000;
    proxy.server("p").refuse_with = sql::refusal::not_primary;
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(!caller.answers[0].ok());
    BOOST_TEST(proxy.server("p").of("w").size() <= 2U);
    BOOST_TEST(to_ms(boot_clock::now() - begun) < 250);
}

// Guards against a storm of questions and log lines about a server that proves its lead and refuses writes.
BOOST_AUTO_TEST_CASE(a_primary_that_refuses_its_lead_is_taken_for_it_again_ever_less_often) {
    routing::lead_doubt doubt;
    const auto begun = boot_clock::now();
    int taken = 0;
    for (auto now = begun; now < begun + 4s; now += 1ms) {
        if (doubt.admits(now)) {
            ++taken;
            doubt.note_refusal(now);
        }
    }
    BOOST_TEST(taken >= 5);
    BOOST_TEST(taken <= 12);
    doubt.clear();
    BOOST_TEST(doubt.admits(begun));
}

// Servers of an older kind do not tell when they started, and a row that was
// written before may come late: neither is a rebirth.
BOOST_AUTO_TEST_CASE(a_start_that_is_unknown_or_earlier_is_no_rebirth) {
    routing::backend_server known;
    known.born_ms = 2000;
    routing::backend_server other;
    BOOST_TEST(!other.started_after(known));
    BOOST_TEST(!known.started_after(other));
    other.born_ms = 1000;
    BOOST_TEST(!other.started_after(known));
    BOOST_TEST(known.started_after(other));
}

BOOST_AUTO_TEST_SUITE_END()
