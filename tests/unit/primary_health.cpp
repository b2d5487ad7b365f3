#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/primary_health.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace std::chrono_literals;

namespace {

const auto now = std::chrono::steady_clock::now() + 1h;

instance_view answering(bool primary, std::chrono::milliseconds heard = 0ms) {
    instance_view out;
    out.primary = primary;
    out.term = 1;
    out.heard_ms = heard.count();
    out.last_heard = now - 10ms;
    return out;
}

instance_view silent(bool primary) {
    auto out = answering(primary);
    out.last_heard = now - 5s;
    return out;
}

verdict judged(const instance_view& first, const instance_view& second, const instance_view& third) {
    const std::array<const instance_view*, 3> members{&first, &second, &third};
    return judge(members, now);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_primary_that_everybody_hears_is_kept) {
    BOOST_TEST((judged(answering(true), answering(false), answering(false)) == verdict::keep));
}

BOOST_AUTO_TEST_CASE(a_primary_that_nobody_hears_is_lost) {
    BOOST_TEST((judged(silent(true), answering(false, 2s), answering(false, 2s)) == verdict::lost));
}

// Only this proxy is cut off from the primary; the replicas hear it and other
// proxies use it. Replacing it would end everybody else's transactions.
BOOST_AUTO_TEST_CASE(a_proxy_that_alone_is_cut_off_replaces_nothing) {
    BOOST_TEST((judged(silent(true), answering(false), answering(false)) == verdict::unreachable));
    BOOST_TEST((judged(silent(true), answering(false, 2s), answering(false)) == verdict::unreachable));
    using enum peer_word;
    BOOST_TEST(!peers_agree(std::array{does_not, hears_it}));
    BOOST_TEST(!peers_agree(std::array{hears_it, no_answer, no_answer}));
}

// No proxy reaches the primary any more, though its replicas do. A majority
// of the proxies says so; a proxy cut off from the others as well may not.
BOOST_AUTO_TEST_CASE(a_primary_that_no_proxy_reaches_is_replaced_by_agreement) {
    using enum peer_word;
    BOOST_TEST(peers_agree(std::array{does_not, no_answer}));
    BOOST_TEST(!peers_agree(std::array{no_answer, no_answer}));
    BOOST_TEST(peers_agree(std::span<const peer_word>{}));
}

// The primary answers callers but was cut off from both replicas: no write
// will ever be confirmed again, though its heartbeats look well.
BOOST_AUTO_TEST_CASE(a_primary_cut_off_from_its_replicas_is_lost) {
    BOOST_TEST((judged(answering(true), answering(false, 2s), answering(false, 2s)) == verdict::lost));
    BOOST_TEST((judged(answering(true), answering(false, 2s), silent(false)) == verdict::keep));
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_replaced_when_a_majority_stays) {
    auto primary = answering(true);
    primary.leaving_since = now - 1s;
    BOOST_TEST((judged(primary, answering(false), answering(false)) == verdict::leaving));
    BOOST_TEST((judged(primary, answering(false), silent(false)) == verdict::keep));
}

// A killed process refuses connections at once; there is no need to wait
// until its last heartbeat has grown old.
BOOST_AUTO_TEST_CASE(a_primary_that_refuses_connections_counts_as_silent_at_once) {
    auto primary = answering(true);
    primary.refused = true;
    BOOST_TEST((judged(primary, answering(false, 500ms), answering(false, 500ms)) == verdict::lost));
}
