#include <boost/test/unit_test.hpp>

#include "cornellever/ctl/proxy_status.hpp"
#include "cornellever/rpc/envelope.hpp"

using namespace cornellever;

namespace {

ctl::proxy_status parse_dump(const char* dump) {
    const auto parsed = rpc::parse_json(dump);
    BOOST_TEST_REQUIRE(parsed.has_value());
    return ctl::parse_status(*parsed);
}

constexpr auto healthy_dump = R"({"name": "a", "config_version": 7, "registry_version": 40, "sessions": 3,
    "store_reachable": true, "leaving": false, "peers": {"b": {"alive": true}, "c": {"alive": false}},
    "services": {"stock": {"primary": "p"}}})";

} // namespace

BOOST_AUTO_TEST_SUITE(proxy_status_dump)

BOOST_AUTO_TEST_CASE(dump_is_summarized) {
    const auto status = parse_dump(healthy_dump);
    BOOST_TEST(ctl::to_text(status) ==
               "a: configuration version 7, servers version 40, 3 sessions, 1 peers alive, store "
               "reachable\n  stock: primary p");
    BOOST_TEST(ctl::find_problems(std::vector{status}).empty());
}

BOOST_AUTO_TEST_CASE(problems_are_listed) {
    const std::vector<ctl::proxy_status> proxies{
        parse_dump(healthy_dump), parse_dump(R"({"name": "b", "config_version": 6, "store_reachable": false,
                         "services": {"stock": {"primary": "q"}, "badges": {"primary": ""}}})")};
    const std::vector<std::string> expected{"b does not reach the store", "b has configuration 6, not 7",
                                            "b knows no primary of badges",
                                            "b reports q as the primary of stock, others p"};
    BOOST_TEST(ctl::find_problems(proxies) == expected, boost::test_tools::per_element());
}

// Guards against a crash on the dump of another program or another version.
BOOST_AUTO_TEST_CASE(malformed_dumps_are_tolerated) {
    BOOST_TEST(parse_dump("[]").name.empty());
    BOOST_TEST(parse_dump(R"({"name": 5, "peers": [1], "services": "none", "config_version": -1})").config_version ==
               0U);
}

BOOST_AUTO_TEST_SUITE_END()
