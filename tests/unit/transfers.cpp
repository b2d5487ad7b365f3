#include <boost/test/unit_test.hpp>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/core/packing.hpp"
#include "cornellever/rpc/channel.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "fake_peer.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

constexpr auto piece_interval = 60ms;
constexpr std::size_t pieces = 8;

/// Answers one request with the first `sent` of `pieces` pieces, at intervals, as a
/// busy link delivers a long response; then sends nothing more.
asio::awaitable<void> answer_in_pieces(tcp::acceptor& listener, std::size_t sent) {
    auto socket = co_await listener.async_accept(asio::use_awaitable);
    std::array<char, 4096> request{};
    (void)co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    const auto response = fake_peer::http(rpc::encode_response(Json::Value{1}, Json::Value{std::string(8000, 'x')}));
    const auto piece_length = response.size() / pieces + 1;
    for (std::size_t i = 0; i < sent; ++i) {
        const auto piece = response.substr(i * piece_length, piece_length);
        co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
        co_await sleep_for(piece_interval);
    }
    co_await sleep_for(1s);
}

/// Calls a peer that sends the first `sent` pieces of its response; returns whether
/// the call succeeded.
bool call_succeeds(std::size_t sent, std::optional<std::chrono::milliseconds> idle_timeout) {
    asio::io_context io;
    tcp::acceptor listener{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    asio::co_spawn(io, answer_in_pieces(listener, sent), asio::detached);
    bool out = false;
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        rpc::channel link{io.get_executor(), listener.local_endpoint()};
        const Json::Value no_params{Json::objectValue};
        const auto answer = co_await link.call("snapshot", no_params, 200ms, idle_timeout);
        out = answer.has_value();
    });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(transfers)

// Guards against long transfers that are aborted and restarted for ever because they
// exceed the time limit of a short one.
BOOST_AUTO_TEST_CASE(long_response_succeeds_while_it_makes_progress) {
    BOOST_TEST(call_succeeds(pieces, 200ms));
    BOOST_TEST(!call_succeeds(pieces, std::nullopt));
}

// Guards against waiting for the rest of a response whose sender has stopped sending.
BOOST_AUTO_TEST_CASE(stalled_response_times_out) {
    const auto started = boot_clock::now();
    BOOST_TEST(!call_succeeds(2, 200ms));
    BOOST_TEST(to_ms(boot_clock::now() - started) < 900);
}

BOOST_AUTO_TEST_CASE(packed_text_round_trips) {
    const std::string text(100'000, 'r');
    const auto packed = pack(text);
    BOOST_TEST(packed.base64.size() < 1000U);
    BOOST_TEST(unpack(packed, text.size()).value() == text);
    BOOST_TEST(!unpack(packed, text.size() - 1));
    BOOST_TEST(!unpack({.bytes = 100, .base64 = packed.base64}, 1000));
    BOOST_TEST(!unpack({.bytes = 100, .base64 = "no base64!"}, 1000));
    BOOST_TEST(!unpack({.bytes = 100, .base64 = "AAAA"}, 1000));
    BOOST_TEST(unpack(pack(""), 0).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()
