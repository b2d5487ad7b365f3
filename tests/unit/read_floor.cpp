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

BOOST_AUTO_TEST_CASE(the_floor_is_the_oldest_sample_within_the_freshness_bound) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 10}));
    floor.add(sample(1000ms, {1, 20}));
    floor.add(sample(2000ms, {1, 30}));
    BOOST_TEST((floor.floor(start + 2400ms, 1500ms, std::nullopt) == log_position{1, 20}));
    BOOST_TEST((floor.floor(start + 2600ms, 1500ms, std::nullopt) == log_position{1, 30}));
}

BOOST_AUTO_TEST_CASE(the_floor_includes_the_sessions_own_commit) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 10}));
    BOOST_TEST((floor.floor(start + 100ms, 1500ms, log_position{1, 12}) == log_position{1, 12}));
}

// Guards against a session that reads without its own commit right after a promotion: the new primary reports a
// position of the previous term until its first commit, and the sample of the session's own write is dropped if that
// report was requested later.
BOOST_AUTO_TEST_CASE(the_floor_includes_a_commit_of_a_term_without_a_sample) {
    routing::read_floor floor;
    floor.add(sample(0ms, {4, 570}));
    floor.add(sample(1000ms, {4, 612}));
    floor.add(sample(990ms, {5, 614}));
    for (const auto max_staleness : {0ms, 1500ms}) {
        const auto now = start + 1000ms;
        BOOST_TEST((floor.floor(now, max_staleness, log_position{5, 614}) == log_position{5, 614}));
    }
    floor.add(sample(1040ms, {5, 620}));
    BOOST_TEST((floor.floor(start + 1100ms, 60ms, log_position{5, 614}) == log_position{5, 620}));
    BOOST_TEST((floor.floor(start + 1100ms, 60ms, log_position{4, 600}) == log_position{5, 620}));
}

// Guards against a missing floor after a promotion that rolled back commits. The new primary reports the end of its
// log, which is below the previous primary's, until its first commit.
BOOST_AUTO_TEST_CASE(a_promotion_that_rolls_back_commits_lowers_the_floor) {
    routing::read_floor floor;
    floor.add(sample(0ms, {4, 600}));
    floor.add(sample(1000ms, {4, 612}));
    floor.add_after_promotion(sample(2000ms, {4, 610}));
    BOOST_TEST((floor.floor(start + 2100ms, 500ms, std::nullopt) == log_position{4, 610}));
    BOOST_TEST((floor.floor(start + 2100ms, 500ms, log_position{4, 605}) == log_position{4, 610}));
    // The session's commit may have been kept, as far as the proxy knows.
    BOOST_TEST((floor.floor(start + 2100ms, 500ms, log_position{4, 612}) == log_position{4, 612}));
    floor.add(sample(2200ms, {5, 611}));
    floor.note_commit({5, 611});
    BOOST_TEST((floor.floor(start + 2600ms, 500ms, log_position{4, 612}) == log_position{5, 611}));
    // A late reply of the previous primary.
    floor.add_after_promotion(sample(1500ms, {4, 612}));
    BOOST_TEST((floor.newest()->position == log_position{5, 611}));
}

// Guards against a stale read or a missing floor after two promotions in a row, of which the second rolls back the only
// commit of the first one's term.
BOOST_AUTO_TEST_CASE(the_floor_follows_two_promotions_in_a_row) {
    routing::read_floor floor;
    floor.add(sample(0ms, {4, 612}));
    floor.add(sample(1000ms, {5, 613}));
    floor.note_commit({5, 613});
    floor.add_after_promotion(sample(2000ms, {4, 612}));
    BOOST_TEST((floor.floor(start + 2100ms, 500ms, std::nullopt) == log_position{4, 612}));
    BOOST_TEST((floor.floor(start + 2100ms, 500ms, log_position{5, 613}) == log_position{5, 613}));
    floor.add(sample(2200ms, {6, 613}));
    floor.note_commit({6, 613});
    BOOST_TEST((floor.floor(start + 2300ms, 500ms, log_position{6, 613}) == log_position{6, 613}));
    BOOST_TEST((floor.floor(start + 2600ms, 500ms, log_position{5, 613}) == log_position{6, 613}));
}

// Guards against reads beyond their freshness bound while no proxy reaches the
// primary: it is unknown how far replicas are behind.
BOOST_AUTO_TEST_CASE(without_a_recent_sample_there_is_no_floor) {
    routing::read_floor floor;
    BOOST_TEST(!floor.floor(start, 1500ms, std::nullopt));
    floor.add(sample(0ms, {1, 10}));
    BOOST_TEST(!floor.floor(start + 1501ms, 1500ms, log_position{1, 12}));
}

// Guards against a caller that reads a record older than one it has seen. A replica
// that had received nothing for a while was at number 13 when another one was
// promoted. It adopted the new term at once, and a floor with the new term but
// without the number let the read pass. A floor consists of the number and the
// term as they were acknowledged.
BOOST_AUTO_TEST_CASE(after_a_promotion_the_floor_keeps_its_number) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 70}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, std::nullopt) == log_position{1, 66}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, log_position{1, 68}) == log_position{1, 68}));
}

// Guards against replicas that refuse all reads for 2.5 s after a promotion, which
// overloads the new primary. It was at 1.435 when it was promoted and reports
// 2.435, but entry 435 is of term 1: no log holds position 2.435 or 2.409, however
// much it has received.
BOOST_AUTO_TEST_CASE(the_floor_is_a_position_that_logs_hold) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 409}));
    floor.add(sample(1400ms, {2, 435}));
    // The position of the old term was acknowledged, and replicas hold it.
    BOOST_TEST((floor.floor(start + 1500ms, 1500ms, std::nullopt) == log_position{1, 409}));
    // The first commit of the new term shows from which number on its positions exist.
    floor.add(sample(1500ms, {2, 437}));
    floor.add(sample(1600ms, {2, 440}));
    BOOST_TEST((floor.floor(start + 1700ms, 500ms, std::nullopt) == log_position{2, 437}));
    BOOST_TEST((floor.floor(start + 2800ms, 1500ms, std::nullopt) == log_position{2, 437}));
    BOOST_TEST((floor.floor(start + 2800ms, 1500ms, log_position{1, 430}) == log_position{2, 437}));
}

// Guards against a floor of the old term that was rolled back, which shows only
// later: the new primary had 60 entries of that term and has written 9 since. Once
// replicas hold entries of the new term, the floor is one of these.
BOOST_AUTO_TEST_CASE(a_floor_of_the_old_term_is_replaced_once_replicas_have_the_new_term) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 68}));
    floor.add(sample(1050ms, {2, 69}));
    BOOST_TEST((floor.floor(start + 1100ms, 1500ms, std::nullopt) == log_position{1, 66}));
    BOOST_TEST((floor.floor(start + 1400ms, 1500ms, std::nullopt) == log_position{2, 69}));
}

// Guards against a session that doesn't see its own write. It made two commits, of
// which the new primary had received only the first. The second is rolled back,
// which must not drop the floor of the first.
BOOST_AUTO_TEST_CASE(a_commit_before_one_that_was_rolled_back_stays_in_the_floor) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 143}));
    floor.add(sample(2400ms, {1, 401}));
    floor.add(sample(2500ms, {2, 402}));
    // It is unknown whether 1.401 was the session's own commit too, and only the
    // primary is known to hold it.
    BOOST_TEST(!floor.floor(start + 2500ms, 2500ms, log_position{1, 404}));
    BOOST_TEST((floor.floor(start + 2500ms, 2500ms, log_position{1, 401}) == log_position{1, 401}));
    floor.add(sample(2550ms, {2, 403}));
    BOOST_TEST((floor.floor(start + 2600ms, 2500ms, log_position{1, 404}) == log_position{2, 403}));
}

// Guards against a missing floor when nothing is written for a while after a
// promotion, so that no position of the new term exists. The newest position of the
// old term is sufficient as long as it is recent.
BOOST_AUTO_TEST_CASE(an_acknowledged_commit_proves_its_entry) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 67}));
    BOOST_TEST((floor.floor(start + 2000ms, 1500ms, std::nullopt) == log_position{2, 67}));
    floor.add(sample(1100ms, {2, 67}));
    floor.note_commit({2, 67});
    BOOST_TEST((floor.floor(start + 1400ms, 1500ms, std::nullopt) == log_position{2, 67}));
}

// Guards against a session whose reads every server refuses for seconds: its last
// commit was rolled back in a promotion, and no log reaches its number until as
// many new commits were made.
BOOST_AUTO_TEST_CASE(a_commit_that_was_rolled_back_is_not_part_of_the_floor) {
    routing::read_floor floor;
    floor.add(sample(0ms, {1, 66}));
    floor.add(sample(1000ms, {2, 60}));
    BOOST_TEST((floor.floor(start + 1200ms, 1500ms, log_position{1, 99}) == log_position{2, 60}));
}

BOOST_AUTO_TEST_SUITE_END()
