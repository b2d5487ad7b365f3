#include <boost/test/unit_test.hpp>

#include "cornellever/ctl/proxy_status.hpp"
#include "cornellever/rpc/envelope.hpp"

using namespace cornellever;

namespace {

ctl::proxy_status of(const char* dump) {
    const auto parsed = rpc::parse_json(dump);
    BOOST_TEST_REQUIRE(parsed.has_value());
    return ctl::status_from(*parsed);
}

constexpr auto well = R"({"name": "a", "config_version": 7, "registry_version": 40, "sessions": 3,
    "store_reachable": true, "leaving": false, "peers": {"b": {"alive": true}, "c": {"alive": false}},
    "services": {"stock": {"primary": "p"}}})";

} // namespace

BOOST_AUTO_TEST_SUITE(status_of_proxies)

BOOST_AUTO_TEST_CASE(a_dump_is_summed_up) {
    const auto status = of(well);
    BOOST_TEST(ctl::to_text(status) == "a: configuration 7, servers as of 40, 3 sessions, 1 peers alive, store "
                                       "reachable\n  stock: primary p");
    BOOST_TEST(ctl::problems(std::vector{status}).empty());
}

BOOST_AUTO_TEST_CASE(what_is_wrong_is_named) {
    const std::vector<ctl::proxy_status> proxies{of(well),
                                                 of(R"({"name": "b", "config_version": 6, "store_reachable": false,
                         "services": {"stock": {"primary": "q"}, "badges": {"primary": ""}}})")};
    const std::vector<std::string> expected{"b does not reach the store", "b has configuration 6, not 7",
                                            "b knows no primary of badges",
                                            "b takes q for the primary of stock, others p"};
    BOOST_TEST(ctl::problems(proxies) == expected, boost::test_tools::per_element());
}

// An answer of another program, or of another version, must not end the tool.
BOOST_AUTO_TEST_CASE(odd_answers_are_taken) {
    BOOST_TEST(of("[]").name.empty());
    BOOST_TEST(of(R"({"name": 5, "peers": [1], "services": "none", "config_version": -1})").config_version == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
