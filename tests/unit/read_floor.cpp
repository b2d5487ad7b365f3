#include <boost/test/unit_test.hpp>

#include "cornellever/routing/read_floor.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using sql::log_position;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};

routing::freshness_sample sample(std::chrono::milliseconds at, log_position position) {
    return {start + at, position};
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_floor)

BOOST_AUTO_TEST_CASE(the_oldest_sample_recent_enough_is_the_floor) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 10}));
    floor.add(sample(1000ms, {1, 20}));
    floor.add(sample(2000ms, {1, 30}));
    BOOST_TEST((floor.floor(start + 2400ms, 1500ms, std::nullopt) == log_position{1, 20}));
    BOOST_TEST((floor.floor(start + 2600ms, 1500ms, std::nullopt) == log_position{1, 30}));
}

BOOST_AUTO_TEST_CASE(a_session_sees_its_own_commit) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 10}));
    BOOST_TEST((floor.floor(start + 100ms, 1500ms, log_position{1, 12}) == log_position{1, 12}));
}

// No proxy could reach the primary for two seconds. Whatever a replica holds
// may be older than the read allows, and nobody can tell.
BOOST_AUTO_TEST_CASE(without_a_recent_sample_nothing_is_promised) {
    routing::read_floor floor;
    BOOST_TEST(!floor.floor(start, 1500ms, std::nullopt));
    floor.add(sample(0ms, {1, 10}));
    BOOST_TEST(!floor.floor(start + 1501ms, 1500ms, log_position{1, 12}));
}

// A caller reads an old record although it saw the newer one before. A replica
// that received nothing for a while stood at number 13 when another one was
// promoted. It counted itself to the new term at once, and a floor that named
// the new term without the number let the read pass.
BOOST_AUTO_TEST_CASE(a_new_term_keeps_the_number_that_a_log_needs) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 70}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, std::nullopt) == log_position{2, 66}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, log_position{1, 68}) == log_position{2, 68}));
}

// A session's reads are refused by every server for seconds. Its last commit
// was rolled back when another replica was promoted, so that no log reaches
// its number until that many others have been made.
BOOST_AUTO_TEST_CASE(a_commit_that_was_rolled_back_is_not_waited_for) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 60}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, log_position{1, 99}) == log_position{2, 60}));
}

BOOST_AUTO_TEST_SUITE_END()
