#include <boost/test/unit_test.hpp>

#include "cornellever/core/daemon.hpp"
#include "fake_peer.hpp"
#include "platform/store_client.hpp"
#include "platform/store_version.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

std::string write_response(std::uint64_t era, std::uint64_t version) {
    const auto body = R"({"Ver":)" + std::to_string(version) + R"(,"NowMs":5})";
    return "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Writes a row once for each of the responses and returns the results. Counts detected restores in `restores`.
std::vector<result<std::uint64_t>> write_for_each(std::vector<std::string> responses, int& restores) {
    asio::io_context io;
    std::size_t next = 0;
    fake_peer store{io, [&](std::size_t, const std::string&) { return responses.at(next++); }};
    std::vector<result<std::uint64_t>> out;
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        platform::store_client client{io.get_executor(), store.address()};
        client.on_restored([&] { ++restores; });
        for (std::size_t i = 0; i < responses.size(); ++i) {
            auto got = co_await client.write("claims", "stock", "mine");
            out.push_back(std::move(got));
        }
    });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_eras)

BOOST_AUTO_TEST_CASE(a_version_round_trips_through_its_encoding) {
    const auto decoded = platform::decode_version(platform::encode_version({3, 77}));
    BOOST_TEST(decoded.era == 3U);
    BOOST_TEST(decoded.version == 77U);
    BOOST_TEST(platform::encode_version({0, 77}) == 77U);
}

// Guards against one fencing token for two holders, which a restored store's repeated versions would cause.
BOOST_AUTO_TEST_CASE(versions_increase_across_a_restore_from_an_older_copy) {
    int restores = 0;
    const auto got = write_for_each({write_response(1, 500), write_response(2, 490), write_response(2, 500)}, restores);
    BOOST_TEST_REQUIRE(got.size() == 3U);
    BOOST_TEST(got[0].value() < got[1].value());
    BOOST_TEST(got[1].value() < got[2].value());
    BOOST_TEST(restores == 1);
}

// Guards against a response from before the restore that arrives after it.
BOOST_AUTO_TEST_CASE(a_late_response_of_an_older_era_is_discarded) {
    int restores = 0;
    const auto got = write_for_each({write_response(2, 490), write_response(1, 501)}, restores);
    BOOST_TEST(got[0].has_value());
    BOOST_TEST(!got[1].has_value());
}

// Guards against changed versions with a store that reports no era.
BOOST_AUTO_TEST_CASE(a_store_without_eras_is_supported) {
    int restores = 0;
    const auto got = write_for_each({fake_peer::http(R"({"Ver":9,"NowMs":5})"), write_response(0, 10)}, restores);
    BOOST_TEST(got[0].value() == 9U);
    BOOST_TEST(got[1].value() == 10U);
    BOOST_TEST(restores == 0);
}

BOOST_AUTO_TEST_SUITE_END()
