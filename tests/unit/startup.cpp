#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

BOOST_AUTO_TEST_SUITE(starting)

// All proxies lost power and are started together. A crew files a notice 20 ms
// later and is refused three times in as many milliseconds, by three proxies
// that are still reading the configuration; the notice is lost.
BOOST_AUTO_TEST_CASE(an_opening_waits_for_the_first_configuration) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    caller_script caller{.events = {opening("strict"), ask("a", statement_kind::read, "1")}};
    proxy.later(40ms, [&] { proxy.configure(); });
    const auto begun = boot_clock::now();
    proxy.play({&caller});
    BOOST_TEST(caller.refusals.empty());
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.front().ok());
    BOOST_TEST((boot_clock::now() - begun < 300ms));
}

// The store is away: nobody can say when a configuration comes.
BOOST_AUTO_TEST_CASE(a_configuration_that_does_not_come_is_not_waited_for_twice) {
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
