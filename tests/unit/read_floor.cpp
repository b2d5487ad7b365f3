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
// the new term without the number let the read pass. A floor names the entry
// that a log has to hold: number and term as they were acknowledged.
BOOST_AUTO_TEST_CASE(a_new_term_keeps_the_number_that_a_log_needs) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 70}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, std::nullopt) == log_position{1, 66}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, log_position{1, 68}) == log_position{1, 68}));
}

// After each promotion all reads are refused by the replicas for 2.5 s, and
// crowd the new primary. It stood at 1.435 when it was promoted and reports
// 2.435, but entry 435 is of term 1: no log holds position 2.435, nor 2.409,
// however much it has received.
BOOST_AUTO_TEST_CASE(a_floor_names_an_entry_that_logs_hold) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 409}));
    floor.add(sample(1400ms, {2, 435}));
    // The old term's position was acknowledged as such, and replicas hold it.
    BOOST_TEST((floor.floor(start + 1500ms, 1500ms, std::nullopt) == log_position{1, 409}));
    // The first commit of the new term shows which positions exist.
    floor.add(sample(1500ms, {2, 437}));
    floor.add(sample(1600ms, {2, 440}));
    BOOST_TEST((floor.floor(start + 1700ms, 500ms, std::nullopt) == log_position{2, 437}));
    BOOST_TEST((floor.floor(start + 2800ms, 1500ms, std::nullopt) == log_position{2, 437}));
    BOOST_TEST((floor.floor(start + 2800ms, 1500ms, log_position{1, 430}) == log_position{2, 437}));
}

// A floor of the old term may have been rolled back, which shows only later:
// the new primary had 60 entries of it and has made 9 since. As soon as
// replicas hold the new term's entries, the floor is one of these.
BOOST_AUTO_TEST_CASE(a_floor_of_the_old_term_is_left_once_replicas_have_the_new) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 68}));
    floor.add(sample(1050ms, {2, 69}));
    BOOST_TEST((floor.floor(start + 1100ms, 1500ms, std::nullopt) == log_position{1, 66}));
    BOOST_TEST((floor.floor(start + 1400ms, 1500ms, std::nullopt) == log_position{2, 69}));
}

// A session does not see what it wrote: it made two commits, of which the new
// primary had received the first only. The second is owed to nobody, and with
// it the floor of the first was dropped.
BOOST_AUTO_TEST_CASE(a_commit_before_one_that_was_rolled_back_is_seen) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 143}));
    floor.add(sample(2400ms, {1, 401}));
    floor.add(sample(2500ms, {2, 402}));
    // Whether 1.401 was the session's own too nobody remembers: the primary
    // alone is known to hold it.
    BOOST_TEST(!floor.floor(start + 2500ms, 2500ms, log_position{1, 404}));
    BOOST_TEST((floor.floor(start + 2500ms, 2500ms, log_position{1, 401}) == log_position{1, 401}));
    floor.add(sample(2550ms, {2, 403}));
    BOOST_TEST((floor.floor(start + 2600ms, 2500ms, log_position{1, 404}) == log_position{2, 403}));
}

// Nothing is written for long after a promotion, so that no position of the
// new term exists; the newest of the old one is enough as long as it is recent.
BOOST_AUTO_TEST_CASE(an_acknowledged_commit_proves_its_entry) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 67}));
    BOOST_TEST((floor.floor(start + 2000ms, 1500ms, std::nullopt) == log_position{2, 67}));
    floor.add(sample(1100ms, {2, 67}));
    floor.note_commit({2, 67});
    BOOST_TEST((floor.floor(start + 1400ms, 1500ms, std::nullopt) == log_position{2, 67}));
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
