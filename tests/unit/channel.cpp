#include <boost/test/unit_test.hpp>

#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "fake_peer.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

std::string answer_to(const std::string& body, int id_offset = 0) {
    const auto id = rpc::parse_json(body).value()["id"].asInt64();
    return fake_peer::http(rpc::encode_response(Json::Value{Json::Int64{id + id_offset}}, Json::Value{"for you"}));
}

} // namespace

// Guards against pairing responses with the wrong requests: the second caller of
// a pooled connection receives the response to the first caller's request. It
// must get an error, and the connection must not be used again, since every
// later caller would receive the response of the one before.
BOOST_AUTO_TEST_CASE(response_to_another_request_breaks_the_connection) {
    asio::io_context io;
    fake_peer peer{io,
                   [](std::size_t number, const std::string& body) { return answer_to(body, number == 0 ? 0 : -1); }};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        rpc::channel link{io.get_executor(), peer.address()};
        const Json::Value no_params{Json::objectValue};
        auto own = co_await link.call("first", no_params, 500ms);
        BOOST_TEST(own.has_value());
        auto foreign = co_await link.call("second", no_params, 500ms);
        BOOST_REQUIRE(!foreign.has_value());
        BOOST_TEST((foreign.error().code == errc::outcome_unknown));
        BOOST_TEST(!link.usable());
    });
}

// The response is truncated. The caller must get no partial result but
// `outcome_unknown`, since the request may have been executed.
BOOST_AUTO_TEST_CASE(truncated_response_leaves_the_outcome_unknown) {
    asio::io_context io;
    fake_peer peer{io, [](std::size_t, const std::string&) {
                       return fake_peer::http(R"({"id":1,"jsonrpc":"2.0","result":{"rows":[)", 4000);
                   }};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        rpc::channel link{io.get_executor(), peer.address()};
        auto cut = co_await link.call("read", Json::Value{Json::objectValue}, 200ms);
        BOOST_REQUIRE(!cut.has_value());
        BOOST_TEST((cut.error().code == errc::outcome_unknown));
        BOOST_TEST(!link.usable());
    });
}

// The body is valid JSON but not a response, or its error object is incomplete.
BOOST_AUTO_TEST_CASE(malformed_responses_leave_the_outcome_unknown) {
    for (const auto* text : {"[]", "7", "{}", R"({"id":"1","result":1})", R"({"id":1,"error":"odd"})",
                             R"({"id":1,"error":{"code":"x","message":3}})"}) {
        asio::io_context io;
        fake_peer peer{io, [&](std::size_t, const std::string&) { return fake_peer::http(text); }};
        run_coroutine(io, [&]() -> asio::awaitable<void> {
            rpc::channel link{io.get_executor(), peer.address()};
            auto odd = co_await link.call("read", Json::Value{Json::objectValue}, 200ms);
            BOOST_REQUIRE(!odd.has_value());
            BOOST_TEST((odd.error().code == errc::outcome_unknown), text);
        });
    }
}

// The peer closes an idle pooled connection. A request sent on it would end with
// `outcome_unknown` although it is never executed.
BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_stale) {
    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        rpc::channel link{io.get_executor(), acceptor.local_endpoint()};
        BOOST_TEST(!link.stale());
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                std::string request;
                co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "}", asio::use_awaitable);
                const auto bytes = fake_peer::http(rpc::encode_response(Json::Value{1}, Json::Value{"ok"}));
                co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            },
            asio::detached);
        auto answer = co_await link.call("read", Json::Value{Json::objectValue}, 500ms);
        BOOST_TEST(answer.has_value());
        co_await sleep_for(20ms);
        BOOST_TEST(link.usable());
        BOOST_TEST(link.stale());
    });
}

// jsoncpp throws on input that is nested too deeply, instead of returning an error.
BOOST_AUTO_TEST_CASE(deeply_nested_input_is_an_error) {
    BOOST_TEST(!rpc::decode_request(std::string(5000, '[')).has_value());
}
