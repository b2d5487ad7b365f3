#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/primary_health.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace std::chrono_literals;

namespace {

const auto now = std::chrono::steady_clock::now() + 1h;

instance_view responsive(bool primary, std::chrono::milliseconds primary_contact_age = 0ms) {
    instance_view out;
    out.primary = primary;
    out.term = 1;
    out.primary_contact_age_ms = primary_contact_age.count();
    out.last_heartbeat_at = now - 10ms;
    return out;
}

instance_view unresponsive(bool primary) {
    auto out = responsive(primary);
    out.last_heartbeat_at = now - 5s;
    return out;
}

primary_status assess(const instance_view& first, const instance_view& second, const instance_view& third) {
    const std::array<const instance_view*, 3> members{&first, &second, &third};
    return assess_primary(members, now);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_primary_in_contact_with_its_replicas_is_serving) {
    BOOST_TEST((assess(responsive(true), responsive(false), responsive(false)) == primary_status::serving));
}

BOOST_AUTO_TEST_CASE(a_primary_out_of_contact_with_all_is_lost) {
    BOOST_TEST((assess(unresponsive(true), responsive(false, 2s), responsive(false, 2s)) == primary_status::lost));
}

// Only this proxy is cut off from the primary; the replicas are in contact with it and other proxies use it. Replacing
// it would abort the transactions of all other callers.
BOOST_AUTO_TEST_CASE(a_proxy_partitioned_alone_replaces_nothing) {
    BOOST_TEST((assess(unresponsive(true), responsive(false), responsive(false)) == primary_status::unreachable));
    BOOST_TEST((assess(unresponsive(true), responsive(false, 2s), responsive(false)) == primary_status::unreachable));
    using enum primary_observation;
    BOOST_TEST(!peers_confirm_unreachable(std::array{not_reachable, reachable}));
    BOOST_TEST(!peers_confirm_unreachable(std::array{reachable, no_answer, no_answer}));
}

// No proxy can reach the primary, though its replicas can. It is replaced once a majority of the proxies agree; a
// proxy that is also cut off from the other proxies must not replace it.
BOOST_AUTO_TEST_CASE(a_primary_unreachable_for_a_majority_of_proxies_is_replaced) {
    using enum primary_observation;
    BOOST_TEST(peers_confirm_unreachable(std::array{not_reachable, no_answer}));
    BOOST_TEST(!peers_confirm_unreachable(std::array{no_answer, no_answer}));
    BOOST_TEST(peers_confirm_unreachable(std::span<const primary_observation>{}));
}

// The primary answers callers but is cut off from both replicas: no write can be confirmed any more, although its
// heartbeats succeed.
BOOST_AUTO_TEST_CASE(a_primary_partitioned_from_its_replicas_is_lost) {
    BOOST_TEST((assess(responsive(true), responsive(false, 2s), responsive(false, 2s)) == primary_status::lost));
    BOOST_TEST((assess(responsive(true), responsive(false, 2s), unresponsive(false)) == primary_status::serving));
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_replaced_when_a_majority_stays) {
    auto primary = responsive(true);
    primary.leaving_since = now - 1s;
    BOOST_TEST((assess(primary, responsive(false), responsive(false)) == primary_status::leaving));
    BOOST_TEST((assess(primary, responsive(false), unresponsive(false)) == primary_status::serving));
}

// A killed process refuses connections at once, so there is no need to wait for its last heartbeat to expire.
BOOST_AUTO_TEST_CASE(a_primary_that_refuses_connections_is_unresponsive_at_once) {
    auto primary = responsive(true);
    primary.refused = true;
    BOOST_TEST((assess(primary, responsive(false, 500ms), responsive(false, 500ms)) == primary_status::lost));
}

namespace {

/// A topology of one database with the instances `a`, `b` and `c`.
topology three_instances() {
    config::database db{"orders", {}};
    for (const auto* name : {"a", "b", "c"}) {
        db.instances.push_back({.name = name, .zone = "walu", .address = "127.0.0.1:7000"});
    }
    config::service service;
    service.name = "stockbook";
    service.databases.push_back(db);
    config::cluster config;
    config.services.push_back(service);
    topology out;
    out.reset(config);
    return out;
}

heartbeat response_of(const std::string& name, bool primary, std::uint64_t term, std::uint64_t position,
                      std::uint64_t position_term, std::chrono::steady_clock::time_point asked_at) {
    return {.key = "stockbook/orders/" + name,
            .answered = true,
            .primary = primary,
            .term = term,
            .position = position,
            .position_term = position_term,
            .asked_at = asked_at};
}

primary_status assess(const topology& known, std::chrono::steady_clock::time_point at) {
    return assess_primary(known.members("stockbook", "orders"), at);
}

} // namespace

// Guards against reads of an empty database and writes that are lost later: the primary restarted with an empty log
// before its failure was noticed.
BOOST_AUTO_TEST_CASE(a_primary_behind_an_earlier_position_of_its_term_has_lost_its_log) {
    auto known = three_instances();
    known.record(response_of("b", false, 1, 7, 1, now), now + 1ms);
    known.record(response_of("c", false, 1, 0, 0, now), now + 1ms);
    known.record(response_of("a", true, 1, 0, 0, now + 2ms), now + 3ms);
    BOOST_TEST((assess(known, now + 4ms) == primary_status::lost));
    BOOST_TEST((known.primary("stockbook", "orders", now + 4ms) == nullptr));
    // More writes do not bring the lost ones back.
    known.record(response_of("a", true, 1, 9, 1, now + 5ms), now + 6ms);
    BOOST_TEST((assess(known, now + 7ms) == primary_status::lost));
    // Neither does a promotion of another instance make it usable in its old term.
    known.record(response_of("b", true, 2, 8, 2, now + 8ms), now + 9ms);
    BOOST_TEST_REQUIRE((known.primary("stockbook", "orders", now + 10ms) != nullptr));
    BOOST_TEST(known.primary("stockbook", "orders", now + 10ms)->name == "b");
    BOOST_TEST((assess(known, now + 10ms) == primary_status::serving));
}

// A promoted replica may lack entries that other members received in the earlier term, and a response that is older
// than a replica's shows an older position.
BOOST_AUTO_TEST_CASE(a_primary_behind_other_terms_or_later_responses_has_not_lost_its_log) {
    auto known = three_instances();
    known.record(response_of("b", false, 2, 9, 1, now), now + 1ms);
    known.record(response_of("a", true, 2, 8, 2, now + 2ms), now + 3ms);
    BOOST_TEST((assess(known, now + 4ms) == primary_status::serving));
    known.record(response_of("b", false, 2, 12, 2, now + 5ms), now + 8ms);
    known.record(response_of("a", true, 2, 10, 2, now + 5ms), now + 9ms);
    BOOST_TEST((assess(known, now + 10ms) == primary_status::serving));
}
