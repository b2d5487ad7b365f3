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

constexpr auto piece_period = 60ms;
constexpr std::size_t pieces = 8;

/// Answers one request in pieces, as a busy link delivers a long answer; after
/// `sent` of them nothing more comes.
asio::awaitable<void> answer_in_pieces(tcp::acceptor& at, std::size_t sent) {
    auto socket = co_await at.async_accept(asio::use_awaitable);
    std::array<char, 4096> request{};
    (void)co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    const auto whole = fake_peer::http(rpc::encode_response(Json::Value{1}, Json::Value{std::string(8000, 'x')}));
    const auto length = whole.size() / pieces + 1;
    for (std::size_t i = 0; i < sent; ++i) {
        const auto piece = whole.substr(i * length, length);
        co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
        co_await sleep_for(piece_period);
    }
    co_await sleep_for(1s);
}

/// Calls a peer that sends so many pieces of its answer.
bool arrives(std::size_t sent, std::optional<std::chrono::milliseconds> piece_limit) {
    asio::io_context io;
    tcp::acceptor at{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    asio::co_spawn(io, answer_in_pieces(at, sent), asio::detached);
    bool out = false;
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        rpc::channel link{io.get_executor(), at.local_endpoint()};
        const Json::Value none{Json::objectValue};
        const auto answer = co_await link.call("snapshot", none, 200ms, piece_limit);
        out = answer.has_value();
    });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(transfers)

// Guards against a long answer that is broken off and begun anew for ever, because it takes longer than a short one
// may.
BOOST_AUTO_TEST_CASE(a_long_answer_may_take_its_time_as_long_as_it_goes_on) {
    BOOST_TEST(arrives(pieces, 200ms));
    BOOST_TEST(!arrives(pieces, std::nullopt));
}

// Guards against waiting for the rest of an answer whose sender went silent.
BOOST_AUTO_TEST_CASE(an_answer_that_does_not_go_on_is_given_up) {
    const auto begun = boot_clock::now();
    BOOST_TEST(!arrives(2, 200ms));
    BOOST_TEST(to_ms(boot_clock::now() - begun) < 900);
}

BOOST_AUTO_TEST_CASE(packed_text_is_unpacked_as_it_was) {
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
