#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/charts.hpp"
#include "cornellever/proxy/failover.hpp"
#include "fake_group.hpp"

using namespace cornellever;
using namespace cornellever::test;

namespace {

using test_failover = proxy::failover<fake_store, fake_group>;

const state_chart& steps() {
    static const auto parsed = state_chart::parse(proxy::charts::failover, "failover.ini");
    return parsed.value();
}

proxy::failover_outcome run(test_failover& subject, fake_group& group, std::uint64_t known_term = 1) {
    asio::io_context io;
    proxy::failover_outcome out;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            out = co_await subject.run("s/d", group.members(), std::nullopt, known_term);
        },
        asio::detached);
    io.run();
    return out;
}

std::size_t primary_count(const fake_group& group) {
    return static_cast<std::size_t>(std::ranges::count_if(group.instances, &fake_instance::is_primary));
}

} // namespace

// The primary crashed and the logs of the two remaining replicas differ in length. The longer one must be promoted, as
// only it is sure to hold every acknowledged write.
BOOST_AUTO_TEST_CASE(the_longest_log_of_the_majority_is_promoted) {
    fake_store store;
    fake_group group{3};
    group.instances[0] = {1, true, {1, 1, 1}, false};
    group.instances[1].log = {1};
    group.instances[2].log = {1, 1};
    test_failover subject{store, group, steps(), "a", "ua"};
    const auto outcome = run(subject, group);
    BOOST_TEST(outcome.primary == "2");
    BOOST_TEST(outcome.term == 2u);
    BOOST_TEST(store.rows["s/d"].record.primary == "2");
}

// The primary and one replica are down. The remaining replica may lack acknowledged writes, so nothing may be
// promoted, however long the outage lasts.
BOOST_AUTO_TEST_CASE(without_a_majority_nothing_is_promoted) {
    fake_store store;
    fake_group group{3};
    group.instances[0].reachable = false;
    group.instances[1].reachable = false;
    test_failover subject{store, group, steps(), "a", "ua"};
    const auto outcome = run(subject, group);
    BOOST_TEST(!outcome.promoted());
    BOOST_TEST(outcome.event == "no_majority");
    BOOST_TEST(group.promotions.empty());
}

// The platform's table is down when the primary fails. No term can be allocated, so the failover waits without fencing
// any instance.
BOOST_AUTO_TEST_CASE(with_the_platform_down_nothing_is_fenced) {
    fake_store store;
    store.down = true;
    fake_group group{3};
    test_failover subject{store, group, steps(), "a", "ua"};
    BOOST_TEST(!run(subject, group).promoted());
    BOOST_TEST(group.instances[1].term == 1u);
    store.down = false;
    BOOST_TEST(run(subject, group).promoted());
}

// The claim was written to the table but the answer was lost. The proxy must find its own claim in the row and
// continue with that term instead of claiming another.
BOOST_AUTO_TEST_CASE(a_claim_whose_answer_was_lost_is_recognised) {
    fake_store store;
    store.drop_answers = 1;
    fake_group group{3};
    group.instances[0].reachable = false;
    test_failover subject{store, group, steps(), "a", "ua"};
    const auto outcome = run(subject, group);
    BOOST_TEST(outcome.promoted());
    BOOST_TEST(outcome.term == 2u);
    BOOST_TEST(group.promotions.size() == 1u);
}

// The promotion took effect but its answer was lost. Promoting another instance in the same term would create two
// primaries of one term; instead a new term is claimed, which fences the first promotion.
BOOST_AUTO_TEST_CASE(a_promotion_whose_answer_was_lost_claims_a_new_term) {
    fake_store store;
    fake_group group{3};
    group.instances[0].reachable = false;
    group.drop_promotion_answers = 1;
    test_failover subject{store, group, steps(), "a", "ua"};
    const auto outcome = run(subject, group);
    BOOST_TEST(outcome.promoted());
    BOOST_TEST(outcome.term == 3u);
    BOOST_TEST(primary_count(group) == 1u + 1u); // the unreachable old one and the new one
}

// Proxy A claims a term and is paused before the promotion until its lease expires. Proxy B claims the next term and
// promotes. When A resumes its failover, the instances must refuse its term.
BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_is_fenced) {
    fake_store store;
    fake_group group{3};
    group.instances[0].reachable = false;
    group.promotion_delay = std::chrono::milliseconds{120};
    test_failover first{store, group, steps(), "a", "ua", std::chrono::milliseconds{30}};
    test_failover second{store, group, steps(), "b", "ub", std::chrono::milliseconds{30}};
    asio::io_context io;
    proxy::failover_outcome paused;
    std::vector<proxy::failover_outcome> others;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { paused = co_await first.run("s/d", group.members(), std::nullopt, 1); },
        asio::detached);
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (int round = 0; round < 6; ++round) {
                co_await sleep_for(std::chrono::milliseconds{10});
                others.push_back(co_await second.run("s/d", group.members(), std::nullopt, 1));
                if (others.back().promoted()) {
                    co_return;
                }
            }
        },
        asio::detached);
    io.run();
    BOOST_TEST(others.front().event == "held_by_other");
    BOOST_REQUIRE(others.back().promoted());
    BOOST_TEST(others.back().term == 3u);
    BOOST_TEST(!paused.promoted());
    BOOST_TEST(paused.event == "superseded");
    BOOST_TEST(group.promotions.size() == 1u);
}

// A proxy that has no heartbeat of the new primary yet considers the old one lost again. The newer term in the row
// must make it wait instead of replacing the new primary.
BOOST_AUTO_TEST_CASE(a_failover_just_finished_is_not_repeated) {
    fake_store store;
    fake_group group{3};
    group.instances[0].reachable = false;
    test_failover first{store, group, steps(), "a", "ua"};
    test_failover second{store, group, steps(), "b", "ub"};
    BOOST_TEST(run(first, group).promoted());
    BOOST_TEST(run(second, group, 1).event == "held_by_other");
    BOOST_TEST(run(second, group, 2).promoted());
}

// The primary is leaving, or is cut off from its replicas but not from the proxies. Its log is the longest because of
// writes that were never acknowledged. Promoting it again for that would change nothing, so another member must be
// chosen.
BOOST_AUTO_TEST_CASE(the_primary_being_replaced_is_not_chosen_again) {
    fake_store store;
    fake_group group{3};
    group.instances[0].log = {1, 1, 1};
    group.instances[1].log = {1, 1};
    group.instances[2].log = {1};
    group.not_preferred = {0};
    test_failover subject{store, group, steps(), "a", "ua"};
    BOOST_TEST(run(subject, group).primary == "1");
}

// Three proxies run failovers repeatedly while instances fail and recover, answers get lost, steps are delayed at
// random and writes continue. Invariants: one primary per term, and a write that a majority held in its own term is in
// the log of every later primary.
BOOST_AUTO_TEST_CASE(random_failovers_lose_no_acknowledged_write) {
    std::size_t total_acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random{seed};
        fake_store store;
        fake_group group{3};
        store.random = &random;
        group.random = &random;
        std::vector<std::pair<std::size_t, std::uint64_t>> acknowledged; // position, term
        asio::io_context io;
        const auto proxy_loop = [&](std::string name) -> asio::awaitable<void> {
            test_failover subject{store, group, steps(), name, "u" + name, std::chrono::milliseconds{3}};
            for (int round = 0; round < 8; ++round) {
                co_await sleep_for(std::chrono::milliseconds{random() % 4});
                std::uint64_t known = 0;
                for (const auto& item : group.instances) {
                    known = std::max(known, item.reachable ? item.term : 0);
                }
                (void)co_await subject.run("s/d", group.members(), std::nullopt, known);
            }
        };
        const auto fault_loop = [&]() -> asio::awaitable<void> {
            for (int round = 0; round < 30; ++round) {
                co_await sleep_for(std::chrono::milliseconds{1});
                auto& item = group.instances[random() % 3];
                item.reachable = random() % 3 != 0;
                store.drop_answers = random() % 5 == 0 ? 1 : 0;
                group.drop_promotion_answers = random() % 7 == 0 ? 1 : 0;
            }
            for (auto& item : group.instances) {
                item.reachable = true;
            }
        };
        // A write: the primary appends an entry; replicas that accept its term copy its log; the write is acknowledged
        // once a majority holds it.
        const auto write_loop = [&]() -> asio::awaitable<void> {
            for (int round = 0; round < 60; ++round) {
                co_await sleep_for(std::chrono::milliseconds{random() % 2});
                const auto writer = random() % 3;
                if (!group.instances[writer].is_primary) {
                    continue;
                }
                group.instances[writer].log.push_back(group.instances[writer].term);
                const auto entry = group.instances[writer].end();
                std::size_t holders = 1;
                for (std::size_t other = 0; other < 3; ++other) {
                    co_await group.pause();
                    auto& from = group.instances[writer];
                    auto& to = group.instances[other];
                    if (other != writer && from.is_primary && from.term == entry.term && from.reachable &&
                        to.reachable && to.term <= from.term) {
                        to.term = from.term;
                        to.is_primary = false;
                        to.log = from.log;
                        ++holders;
                    }
                }
                if (holders >= majority_of(3)) {
                    acknowledged.emplace_back(entry.position, entry.term);
                }
            }
        };
        for (const auto* name : {"a", "b", "c"}) {
            asio::co_spawn(io, proxy_loop(name), asio::detached);
        }
        asio::co_spawn(io, fault_loop(), asio::detached);
        asio::co_spawn(io, write_loop(), asio::detached);
        io.run();

        total_acknowledged += acknowledged.size();
        std::set<std::uint64_t> promoted_terms;
        for (const auto& [term, key] : group.promotions) {
            BOOST_TEST(promoted_terms.insert(term).second, "seed " << seed << ": two primaries in term " << term);
        }
        // A final failover with all instances reachable: its primary must hold all acknowledged writes.
        store.drop_answers = 0;
        group.drop_promotion_answers = 0;
        test_failover last{store, group, steps(), "z", "uz", std::chrono::milliseconds{0}};
        const auto outcome = run(last, group, 1);
        BOOST_REQUIRE(outcome.promoted());
        const auto& log = group.instances[std::stoul(outcome.primary)].log;
        for (const auto& [position, term] : acknowledged) {
            const bool kept = position <= log.size() && log[position - 1] == term;
            BOOST_TEST(kept,
                       "seed " << seed << ": acknowledged write " << position << " of term " << term << " is lost");
        }
    }
    BOOST_TEST(total_acknowledged > 100u, "the runs acknowledged " << total_acknowledged << " writes");
}
