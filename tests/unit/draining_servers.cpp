#include <boost/test/unit_test.hpp>

#include "cornellever/routing/drain_times.hpp"
#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

const boot_clock::time_point start{1h};

routing::registry with_draining_primary(std::uint64_t version) {
    auto out = three_servers();
    out.version = version;
    out.servers.at("p").draining = true;
    return out;
}

/// Returns how many of a caller's reads run on the primary `p`.
std::size_t reads_at_primary(proxy_in_memory& proxy) {
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    return proxy.server("p").of("a").size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(draining_servers)

// Guards against requests to a primary that is about to stop, from a proxy that started after the primary had announced
// it and counted the time from its own start.
BOOST_AUTO_TEST_CASE(a_proxy_that_starts_while_the_primary_drains_does_not_use_it) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    proxy.connector.servers["p"].is_primary = true;
    proxy.host.update(three_databases());
    proxy.host.update(with_draining_primary(1));
    proxy.host.set_proxies(make_proxies(3));
    BOOST_TEST(reads_at_primary(proxy) == 0U);
}

BOOST_AUTO_TEST_CASE(a_primary_seen_to_begin_draining_is_used_until_it_is_replaced) {
    proxy_in_memory proxy;
    proxy.host.update(with_draining_primary(2));
    BOOST_TEST(reads_at_primary(proxy) == 1U);
}

// Guards against the same requests where a service is first used while its primary drains.
BOOST_AUTO_TEST_CASE(the_drain_time_does_not_start_with_the_first_use_of_a_service) {
    const auto before = three_servers();
    const auto draining = with_draining_primary(2);
    routing::drain_times drains;
    drains.update({}, before, start, start);
    BOOST_TEST(!drains.since("p"));
    drains.update(before, draining, start + 1s, start + 1s);
    drains.update(draining, draining, start + 4s, start + 4s);
    BOOST_TEST_REQUIRE(drains.since("p").has_value());
    BOOST_TEST((*drains.since("p") == start + 1s));
    drains.update(draining, before, start + 5s, start + 5s);
    BOOST_TEST(!drains.since("p"));
}

// Guards against requests to a primary later than its drain time, from a proxy that learns seconds late that it drains
// because the connections to the store have gone silent.
BOOST_AUTO_TEST_CASE(the_drain_time_starts_soon_after_the_last_confirmation_that_the_server_does_not_drain) {
    const auto since = [](std::chrono::milliseconds confirmation_age) {
        routing::drain_times drains;
        drains.update(three_servers(), with_draining_primary(2), start - confirmation_age, start);
        return start - *drains.since("p");
    };
    BOOST_TEST((since(0ms) == 0ms));
    BOOST_TEST((since(1000ms) == 0ms));
    BOOST_TEST((since(5000ms) == 4000ms));
    proxy_in_memory proxy;
    proxy.host.update(with_draining_primary(2), boot_clock::now() - 8s);
    BOOST_TEST(reads_at_primary(proxy) == 0U);
}

BOOST_AUTO_TEST_CASE(a_server_first_seen_draining_counts_as_drained) {
    routing::drain_times drains;
    drains.update({}, with_draining_primary(1), start, start);
    BOOST_TEST_REQUIRE(drains.since("p").has_value());
    BOOST_TEST((start - *drains.since("p") >= 1min));
}

BOOST_AUTO_TEST_SUITE_END()
