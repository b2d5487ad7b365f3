#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// A proxy that has used the primary and can't reach it any more, and another,
/// at port 2000, that may.
struct proxy_cut_off : proxy_in_memory {
    session::proxy_node peer{"peer", "there", {asio::ip::make_address("10.0.0.2"), 2000}};

    proxy_cut_off() {
        connector.owners[2000];
        caller_script before{.events = {opening("strict"), ask("before", statement_kind::read, "1")}};
        play({&before});
        server("p").silent = true;
        server("p").connect_fails = routing::connect_failure::silent;
    }

    /// Lets time pass in which the primary is asked and does not answer.
    void wait_for(std::chrono::milliseconds span, bool peer_hears) {
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                const auto begun = boot_clock::now();
                while (boot_clock::now() - begun < span) {
                    if (peer_hears) {
                        host.record_primary_path("stock", peer, boot_clock::now());
                    }
                    host.tick();
                    co_await sleep_for(20ms);
                }
                io.stop();
            },
            asio::detached);
        io.run();
        io.restart();
    }

    std::vector<std::string>& asked_at_peer() { return connector.owners[2000].asked; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(path_cut)

// Two of eight proxies find the primary silent for 5 s while six reach it. A
// crew whose session is at one of the two has every notice refused, though any
// of the six could file it.
BOOST_AUTO_TEST_CASE(sessions_go_through_a_proxy_that_reaches_the_primary) {
    proxy_cut_off proxy;
    proxy.wait_for(900ms, true);
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.front().signature == "owner-w");
    BOOST_TEST(proxy.server("p").of("w").empty());
    BOOST_TEST(proxy.asked_at_peer() == std::vector<std::string>{"w"}, boost::test_tools::per_element());
}

// A primary that nobody hears is lost, and another one is promoted: there is
// no way round.
BOOST_AUTO_TEST_CASE(where_nobody_hears_the_primary_sessions_stay) {
    proxy_cut_off proxy;
    proxy.wait_for(900ms, false);
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(proxy.asked_at_peer().empty());
    BOOST_TEST(caller.welcomed);
}

// A relay of a relay could go round in circles: the proxy that was asked says
// that it can't, and the one that asks tries another.
BOOST_AUTO_TEST_CASE(a_relayed_session_is_not_relayed_again) {
    proxy_cut_off proxy;
    proxy.wait_for(900ms, true);
    caller_script caller{.events = {session::session_opening{"strict", true}, ask("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(!caller.welcomed);
    BOOST_TEST(caller.refusals.size() == 1U);
    BOOST_TEST(proxy.asked_at_peer().empty());
}

// The peer may have run the write when its connection ended: it must neither
// be run again nor be promised not to have run.
BOOST_AUTO_TEST_CASE(a_write_through_a_peer_that_goes_away_may_have_run) {
    proxy_cut_off proxy;
    proxy.wait_for(900ms, true);
    proxy.connector.owners[2000].answers = 0;
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST_REQUIRE(caller.answers.front().error.has_value());
    BOOST_TEST((caller.answers.front().error->why == sql::refusal::outcome_unknown));
    BOOST_TEST(proxy.asked_at_peer().size() == 1U);
}

BOOST_AUTO_TEST_CASE(sessions_are_spread_over_the_peers_that_heard_it_lately) {
    const auto now = boot_clock::now();
    session::primary_paths paths;
    paths.record_contact("stock", {"a", "here", {}}, now);
    paths.record_contact("stock", {"b", "there", {}}, now - 500ms);
    paths.record_contact("stock", {"c", "there", {}}, now - 3s);
    const auto here = now - 1s;
    BOOST_TEST(paths.peers_reaching("stock", 0, now, here).size() == 2U);
    BOOST_TEST(paths.peers_reaching("stock", 0, now, here).front().name !=
               paths.peers_reaching("stock", 1, now, here).front().name);
    BOOST_TEST(paths.peers_reaching("badges", 0, now, here).empty());
}

// A primary crashes. The proxies heard it last within the same 200 ms; were
// that taken for a way round, all sessions would be sent from one proxy to
// another that can't serve them either.
BOOST_AUTO_TEST_CASE(a_primary_that_was_heard_by_all_until_now_has_no_way_round) {
    const auto now = boot_clock::now();
    session::primary_paths paths;
    paths.record_contact("stock", {"a", "here", {}}, now - 600ms);
    BOOST_TEST(paths.peers_reaching("stock", 0, now, now - 800ms).empty());
}

// A session whose proxy can't reach the others either: its caller is told at
// once, and can come back through another proxy within its aim.
BOOST_AUTO_TEST_CASE(a_request_at_a_proxy_that_is_cut_off_is_refused_at_once) {
    proxy_cut_off proxy;
    proxy.wait_for(900ms, true);
    proxy.connector.owners.clear();
    caller_script caller{.events = {opening("strict"), ask("w", statement_kind::write, "1 x")}};
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST_REQUIRE(caller.answers.front().error.has_value());
    BOOST_TEST((caller.answers.front().error->why == sql::refusal::overloaded));
    BOOST_TEST((boot_clock::now() - begun < 100ms));
    BOOST_TEST(proxy.server("p").of("w").empty());
}

BOOST_AUTO_TEST_SUITE_END()
