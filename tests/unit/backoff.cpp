#include <boost/test/unit_test.hpp>

#include "cornellever/core/backoff.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(pauses_double_up_to_the_maximum_until_reset) {
    backoff subject{100ms, 400ms, 7};
    for (const auto full_pause : {100ms, 200ms, 400ms, 400ms}) {
        const auto pause = subject.next();
        BOOST_TEST((pause >= full_pause / 2 && pause <= full_pause));
    }
    subject.reset();
    BOOST_TEST((subject.next() <= 100ms));
}
