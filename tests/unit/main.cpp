#define BOOST_TEST_MODULE cornellever
#include <boost/test/unit_test.hpp>
