#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using routing::replica_progress;
using sql::statement_kind;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};

/// A primary that commits ten times a second.
routing::read_floor busy_primary(int seconds) {
    routing::read_floor out;
    for (int i = 0; i <= 10 * seconds; ++i) {
        out.add({start + i * 100ms, {1, static_cast<std::uint64_t>(100 + i)}});
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(progress)

BOOST_AUTO_TEST_CASE(nothing_is_expected_of_a_replica_that_named_no_position) {
    const auto primary = busy_primary(3);
    const replica_progress unknown;
    BOOST_TEST(!unknown.lacks({1, 120}, start + 3s, primary));
}

// Replicas are 2 s behind. Every read of data that may be 1.5 s old was sent to
// both of them, sixteen times a second each, and refused, before it went to the
// primary: 13 % of what servers were sent.
BOOST_AUTO_TEST_CASE(a_replica_that_lags_is_left_out_until_it_is_expected_to_have_the_floor) {
    const auto primary = busy_primary(4);
    replica_progress lagging;
    lagging.note({1, 119}, start + 4s, primary);
    BOOST_TEST((lagging.lag() == 2s));
    BOOST_TEST(lagging.lacks({1, 125}, start + 4s, primary));
    BOOST_TEST(!lagging.lacks({1, 119}, start + 4s, primary));
    // The primary was at 125 at 2.5 s; the replica is there 2 s later.
    BOOST_TEST(lagging.lacks({1, 125}, start + 4400ms, primary));
    BOOST_TEST(!lagging.lacks({1, 125}, start + 4500ms, primary));
}

BOOST_AUTO_TEST_CASE(a_replica_that_has_caught_up_serves_again_at_once) {
    const auto primary = busy_primary(4);
    replica_progress replica;
    replica.note({1, 119}, start + 4s, primary);
    replica.note({1, 140}, start + 4100ms, primary);
    BOOST_TEST(!replica.lacks({1, 140}, start + 4100ms, primary));
    BOOST_TEST((replica.lag() == 1s));
}

// A replica that is 20 ms behind gets the read that follows a session's own
// commit as soon as it is likely to have it, and not only when some other read
// has shown that.
BOOST_AUTO_TEST_CASE(an_ordinary_lag_is_waited_out_for_ones_own_commit) {
    auto primary = busy_primary(1);
    replica_progress replica;
    replica.note({1, 109}, start + 1020ms, primary);
    primary.add({start + 1100ms, {1, 111}});
    BOOST_TEST(replica.lacks({1, 111}, start + 1110ms, primary));
    BOOST_TEST(!replica.lacks({1, 111}, start + 1120ms, primary));
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_overtaken_changes_nothing) {
    const auto primary = busy_primary(4);
    replica_progress replica;
    replica.note({1, 140}, start + 4100ms, primary);
    replica.note({1, 100}, start + 4000ms, primary);
    BOOST_TEST(!replica.lacks({1, 140}, start + 4100ms, primary));
}

// As it shows at the servers: both replicas lag, reads go to the primary
// without trying them, and return once one of them has caught up, which the
// proxy finds out by itself.
BOOST_AUTO_TEST_CASE(reads_pass_lagging_replicas_by_and_return_to_them) {
    proxy_in_memory proxy;
    auto& pool = proxy.host.pool_for("stock");
    caller_script caller{.events = {opening("own")}};
    for (int i = 0; i < 30; ++i) {
        caller.events.push_back(ask("w" + std::to_string(i), statement_kind::write, "1 x"));
        caller.events.push_back(ask("r" + std::to_string(i), statement_kind::read, "1"));
    }
    proxy.play({&caller});
    std::size_t refused = 0;
    for (const auto* id : {"r1", "r2"}) {
        refused += proxy.server(id).count(statement_kind::read);
    }
    BOOST_TEST(refused <= 4U);
    proxy.server("r1").position = proxy.server("p").position;
    pool.add_sample({boot_clock::now(), proxy.server("p").position});
    caller_script later{.events = {opening("own"), ask("a", statement_kind::read, "1")}};
    proxy.later(0ms, [&] { proxy.host.tick(); });
    later.before[1] = [&] { proxy.host.tick(); };
    proxy.play({&later});
    BOOST_TEST_REQUIRE(later.answers.size() == 1U);
    BOOST_TEST(later.answers.front().ok());
}

BOOST_AUTO_TEST_SUITE_END()
