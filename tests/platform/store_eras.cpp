#include <boost/test/unit_test.hpp>

#include "cornellever/core/daemon.hpp"
#include "fake_peer.hpp"
#include "platform/store_client.hpp"
#include "platform/store_version.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

std::string written(std::uint64_t era, std::uint64_t version) {
    const auto body = R"({"Ver":)" + std::to_string(version) + R"(,"NowMs":5})";
    return "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Writes a row once for each of the answers, and tells of each what came of it.
std::vector<result<std::uint64_t>> write_each(std::vector<std::string> answers, int& returns) {
    asio::io_context io;
    std::size_t next = 0;
    fake_peer store{io, [&](std::size_t, const std::string&) { return answers.at(next++); }};
    std::vector<result<std::uint64_t>> out;
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        platform::store_client client{io.get_executor(), store.address()};
        client.on_return([&] { ++returns; });
        for (std::size_t i = 0; i < answers.size(); ++i) {
            auto got = co_await client.write("claims", "stock", "mine");
            out.push_back(std::move(got));
        }
    });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_eras)

BOOST_AUTO_TEST_CASE(a_point_of_the_history_is_found_again_in_its_number) {
    const auto back = platform::split(platform::join({3, 77}));
    BOOST_TEST(back.era == 3U);
    BOOST_TEST(back.version == 77U);
    BOOST_TEST(platform::join({0, 77}) == 77U);
}

// Guards against a fencing token that is given to two holders, since the store gives its versions out again.
BOOST_AUTO_TEST_CASE(versions_rise_over_a_return_from_an_older_copy) {
    int returns = 0;
    const auto got = write_each({written(1, 500), written(2, 490), written(2, 500)}, returns);
    BOOST_TEST_REQUIRE(got.size() == 3U);
    BOOST_TEST(got[0].value() < got[1].value());
    BOOST_TEST(got[1].value() < got[2].value());
    BOOST_TEST(returns == 1);
}

// Guards against an answer that was given before the return and arrives after it.
BOOST_AUTO_TEST_CASE(a_late_answer_of_an_older_era_does_not_count) {
    int returns = 0;
    const auto got = write_each({written(2, 490), written(1, 501)}, returns);
    BOOST_TEST(got[0].has_value());
    BOOST_TEST(!got[1].has_value());
}

// Guards against anything changing for a store that does not name an era.
BOOST_AUTO_TEST_CASE(a_store_without_eras_is_used_as_before) {
    int returns = 0;
    const auto got = write_each({fake_peer::http(R"({"Ver":9,"NowMs":5})"), written(0, 10)}, returns);
    BOOST_TEST(got[0].value() == 9U);
    BOOST_TEST(got[1].value() == 10U);
    BOOST_TEST(returns == 0);
}

BOOST_AUTO_TEST_SUITE_END()
