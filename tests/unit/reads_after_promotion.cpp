#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// Lets a proxy do its periodic work for `length`.
void run_for(proxy_in_memory& proxy, std::chrono::milliseconds length) {
    for (auto at = 0ms; at < length; at += 20ms) {
        proxy.later(at, [&] { proxy.host.tick(); });
    }
    proxy.later(length, [&] { proxy.io.stop(); });
    proxy.io.run();
    proxy.io.restart();
}

/// A proxy near a replica. Its last sample is 4.612, and its primary has committed 5.613 since, which no replica has
/// applied.
struct proxy_of_previous_term : proxy_in_memory {
    proxy_of_previous_term() {
        auto servers = three_servers();
        servers.version = 2;
        servers.servers.at("p").data_center = "there";
        host.update(servers);
        for (const auto* id : {"p", "r1", "r2"}) {
            server(id).position = {4, 612};
        }
        caller_script before{.events = {opening("fresh"), request("a", statement_kind::read, "1")}};
        play({&before});
        run_for(*this, 100ms);
        server("p").position = {5, 613};
    }

    /// A session that a peer relays after the session's commit 5.613.
    [[nodiscard]] static session::caller_event relayed_session() {
        return session::session_opening{.database = "own", .relayed = true, .last_commit = sql::log_position{5, 613}};
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reads_after_promotion)

// Guards against a relayed session that reads without its own commit at a peer that does not know the commit's term.
BOOST_AUTO_TEST_CASE(relayed_session_reads_its_commit_at_a_peer_that_does_not_know_the_term) {
    proxy_of_previous_term proxy;
    caller_script caller{.events = {proxy.relayed_session(), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.back().ok());
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

// Guards against a read-only transaction that begins on a log without the session's own commit.
BOOST_AUTO_TEST_CASE(relayed_transaction_reads_its_sessions_commit) {
    proxy_of_previous_term proxy;
    caller_script caller{.events = {proxy.relayed_session(), request("b", statement_kind::begin_read_only),
                                    request("r", statement_kind::read, "1"), request("c", statement_kind::commit)}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers.at(1).ok());
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
