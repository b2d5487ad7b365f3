#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// A proxy that has used the primary and can't reach it any more. A peer with
/// port 2000 may still reach it.
struct partitioned_proxy : proxy_in_memory {
    session::proxy_node peer{"peer", "there", {asio::ip::make_address("10.0.0.2"), 2000}};

    partitioned_proxy() {
        connector.owners[2000];
        caller_script before{.events = {opening("strict"), request("before", statement_kind::read, "1")}};
        play({&before});
        server("p").silent = true;
        server("p").connect_fails = routing::connect_failure::silent;
    }

    /// Runs for `span` while the primary is polled and does not answer.
    void wait_for(std::chrono::milliseconds span, bool peer_reaches_primary) {
        run_for(span, [&] {
            if (peer_reaches_primary) {
                host.record_primary_path("stock", peer, boot_clock::now());
            }
        });
    }

    std::vector<std::string>& asked_at_peer() { return connector.owners[2000].asked; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(path_cut)

// Guards against refusing all writes of sessions at two of eight proxies whose
// path to the primary is cut for 5 s while the other six reach it.
BOOST_AUTO_TEST_CASE(sessions_are_relayed_through_a_peer_that_reaches_the_primary) {
    partitioned_proxy proxy;
    proxy.wait_for(900ms, true);
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.front().signature == "owner-w");
    BOOST_TEST(proxy.server("p").of("w").empty());
    BOOST_TEST(proxy.asked_at_peer() == std::vector<std::string>{"w"}, boost::test_tools::per_element());
}

// A primary that no proxy reaches has failed, and another one is promoted: a relay
// would not help.
BOOST_AUTO_TEST_CASE(sessions_are_not_relayed_when_no_peer_reaches_the_primary) {
    partitioned_proxy proxy;
    proxy.wait_for(900ms, false);
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(proxy.asked_at_peer().empty());
    BOOST_TEST(caller.accepted);
}

// Guards against relay loops: the peer refuses the session, and the relaying proxy
// tries another peer.
BOOST_AUTO_TEST_CASE(relayed_session_is_not_relayed_again) {
    partitioned_proxy proxy;
    proxy.wait_for(900ms, true);
    caller_script caller{
        .events = {session::session_opening{"strict", true}, request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST(!caller.accepted);
    BOOST_TEST(caller.refusals.size() == 1U);
    BOOST_TEST(proxy.asked_at_peer().empty());
}

// The peer may have executed the write before the connection to it ended: the write
// must neither be retried nor reported as not run.
BOOST_AUTO_TEST_CASE(write_through_a_lost_peer_has_unknown_outcome) {
    partitioned_proxy proxy;
    proxy.wait_for(900ms, true);
    proxy.connector.owners[2000].answers = 0;
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST_REQUIRE(caller.answers.front().error.has_value());
    BOOST_TEST((caller.answers.front().error->why == sql::refusal::outcome_unknown));
    BOOST_TEST(proxy.asked_at_peer().size() == 1U);
}

BOOST_AUTO_TEST_CASE(sessions_are_spread_over_peers_with_recent_contact) {
    const auto now = boot_clock::now();
    session::primary_paths paths;
    paths.record_contact("stock", {"a", "here", {}}, now);
    paths.record_contact("stock", {"b", "there", {}}, now - 500ms);
    paths.record_contact("stock", {"c", "there", {}}, now - 3s);
    const auto local_contact = now - 1s;
    BOOST_TEST(paths.peers_reaching("stock", 0, now, local_contact).size() == 2U);
    BOOST_TEST(paths.peers_reaching("stock", 0, now, local_contact).front().name !=
               paths.peers_reaching("stock", 1, now, local_contact).front().name);
    BOOST_TEST(paths.peers_reaching("badges", 0, now, local_contact).empty());
}

// Guards against relaying all sessions to peers that can't serve them either when a
// primary crashes: the last contacts of all proxies lie within 200 ms.
BOOST_AUTO_TEST_CASE(failed_primary_has_no_detour) {
    const auto now = boot_clock::now();
    session::primary_paths paths;
    paths.record_contact("stock", {"a", "here", {}}, now - 600ms);
    BOOST_TEST(paths.peers_reaching("stock", 0, now, now - 800ms).empty());
}

// A proxy that reaches neither the primary nor a peer refuses at once, so that the
// caller can retry at another proxy within its target latency.
BOOST_AUTO_TEST_CASE(request_at_an_isolated_proxy_is_refused_at_once) {
    partitioned_proxy proxy;
    proxy.wait_for(900ms, true);
    proxy.connector.owners.clear();
    caller_script caller{.events = {opening("strict"), request("w", statement_kind::write, "1 x")}};
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST_REQUIRE(caller.answers.front().error.has_value());
    BOOST_TEST((caller.answers.front().error->why == sql::refusal::overloaded));
    BOOST_TEST((boot_clock::now() - begun < 100ms));
    BOOST_TEST(proxy.server("p").of("w").empty());
}

BOOST_AUTO_TEST_SUITE_END()
