#include <array>

#include <boost/test/unit_test.hpp>

#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/charts.hpp"

using namespace cornellever;

BOOST_AUTO_TEST_CASE(compiled_in_charts_parse) {
    for (const auto text : {proxy::charts::failover, proxy::charts::drain}) {
        const auto parsed = state_chart::parse(text, "chart");
        BOOST_REQUIRE_MESSAGE(parsed, (parsed ? "" : parsed.error().message));
        BOOST_TEST(!parsed->action(parsed->start()).empty());
    }
}

BOOST_AUTO_TEST_CASE(events_select_the_next_state_and_unknown_events_fail) {
    const auto parsed = state_chart::parse("[state one]\ndo = step\nready = two\n", "c.ini");
    BOOST_REQUIRE(parsed);
    BOOST_TEST(*parsed->next("one", "ready") == "two");
    BOOST_TEST(!parsed->next("one", "never"));
    BOOST_TEST(parsed->action("two").empty());
}

BOOST_AUTO_TEST_CASE(all_errors_in_a_chart_are_reported) {
    const auto parsed = state_chart::parse("[stat one]\ndo = a\n[state two]\nx = y\nbroken\n", "c.ini");
    BOOST_REQUIRE(!parsed);
    for (const auto* part : {"[stat one]", "state two has no action", "c.ini:5"}) {
        BOOST_TEST(parsed.error().message.find(part) != std::string::npos, part << " is reported");
    }
}
