#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

BOOST_AUTO_TEST_SUITE(startup)

// Guards against lost writes when all proxies are started together: 20 ms later a
// caller was refused three times within as many milliseconds, by three proxies
// that were still reading the configuration, and had no attempts left.
BOOST_AUTO_TEST_CASE(session_opening_waits_for_the_first_configuration) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    caller_script caller{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
    proxy.later(40ms, [&] { proxy.configure(); });
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST(caller.refusals.empty());
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.front().ok());
    BOOST_TEST((boot_clock::now() - begun < 300ms));
}

// The store is unavailable, so that it is unknown when a configuration arrives.
BOOST_AUTO_TEST_CASE(missing_configuration_is_waited_for_only_once) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    caller_script first{.events = {opening("strict")}};
    proxy.play({&first});
    BOOST_TEST_REQUIRE(first.refusals.size() == 1U);
    BOOST_TEST((first.refusals.front().why == sql::refusal::overloaded));
    caller_script second{.events = {opening("strict")}};
    const auto begun = boot_clock::now();
    proxy.play({&second});
    BOOST_TEST(second.refusals.size() == 1U);
    BOOST_TEST((boot_clock::now() - begun < 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
