#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "cornellever/cluster/configuration_reader.hpp"

using namespace cornellever;

namespace {

int decode_calls = 0;

result<routing::configuration> decode(std::string_view text) {
    ++decode_calls;
    if (text == "bad") {
        return fail(errc::bad_request, "not a configuration");
    }
    routing::configuration out;
    out.version = text.size();
    return out;
}

using reader = cluster::configuration_reader<decltype(&decode)>;

cluster::table_rows rows_with(std::string value, std::uint64_t version) {
    cluster::table_rows out;
    out.emplace("config", cluster::store_row{.key = "config", .value = std::move(value), .version = version});
    out.emplace("other", cluster::store_row{.key = "other", .value = "x", .version = version + 1});
    return out;
}

struct applied_versions {
    void operator()(const routing::configuration& config) { versions->push_back(config.version); }
    std::vector<std::uint64_t>* versions;
};

} // namespace

BOOST_AUTO_TEST_SUITE(table_decoding)

// Guards against decoding a large configuration again at every change of another row.
BOOST_AUTO_TEST_CASE(a_configuration_is_decoded_once_per_version) {
    decode_calls = 0;
    reader subject{"config", &decode};
    std::vector<std::uint64_t> versions;
    const applied_versions apply{&versions};
    BOOST_TEST(subject.read(rows_with("v", 3), apply).value());
    auto same = rows_with("v", 3);
    same.at("other").version = 9;
    BOOST_TEST(subject.read(same, apply).value());
    BOOST_TEST(decode_calls == 1);
    BOOST_TEST(subject.read(rows_with("vv", 10), apply).value());
    BOOST_TEST((versions == std::vector<std::uint64_t>{1, 2}));
}

// Guards against treating a rejected configuration as accepted after another row changes.
BOOST_AUTO_TEST_CASE(a_rejected_configuration_stays_rejected) {
    reader subject{"config", &decode};
    std::vector<std::uint64_t> versions;
    const applied_versions apply{&versions};
    BOOST_TEST(!subject.read({}, apply).has_value());
    BOOST_TEST(subject.read(rows_with("v", 3), apply).value());
    BOOST_TEST(!subject.read(rows_with("bad", 4), apply).value());
    BOOST_TEST(!subject.read(rows_with("bad", 4), apply).value());
    BOOST_TEST(subject.read(rows_with("vv", 5), apply).value());
}

// Guards against treating a configuration as applied although applying it failed.
BOOST_AUTO_TEST_CASE(a_configuration_that_was_not_applied_is_read_again) {
    reader subject{"config", &decode};
    const auto fails = [](const routing::configuration&) { throw std::runtime_error{"no memory"}; };
    BOOST_CHECK_THROW(subject.read(rows_with("v", 3), fails), std::runtime_error);
    std::vector<std::uint64_t> versions;
    BOOST_TEST(subject.read(rows_with("v", 3), applied_versions{&versions}).value());
    BOOST_TEST(versions.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
