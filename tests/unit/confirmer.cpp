#include <array>

#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/confirmer.hpp"
#include "fake_peer.hpp"
#include "fake_replica.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace cornellever::test;
using namespace std::chrono_literals;

// The old primary made a write after every replica accepted a later term. The write must not be acknowledged, and the
// caller must not wait for the whole timeout.
BOOST_AUTO_TEST_CASE(a_write_of_an_old_term_is_never_confirmed) {
    asio::io_context io;
    fake_replica one{io};
    fake_replica two{io};
    one.self.key = "one";
    one.received = two.received = {2, 50};
    const std::array replicas{one.self, two.self};
    confirmer subject{io.get_executor()};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        const auto started = std::chrono::steady_clock::now();
        auto answer = co_await subject.confirm(replicas, {1, 40}, 1, 5s);
        BOOST_REQUIRE(!answer.has_value());
        BOOST_TEST((answer.error().code == errc::outcome_unknown));
        BOOST_TEST((std::chrono::steady_clock::now() - started < 2s));
    });
}

// One replica is down permanently; the confirmation of the other is sufficient.
BOOST_AUTO_TEST_CASE(one_replica_of_two_is_enough) {
    asio::io_context io;
    fake_replica healthy_replica{io};
    healthy_replica.received = {1, 7};
    const std::array replicas{confirming_replica{"dead", {asio::ip::make_address("127.0.0.1"), 9}},
                              healthy_replica.self};
    confirmer subject{io.get_executor()};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        auto confirmed = co_await subject.confirm(replicas, {1, 7}, 1, 2s);
        BOOST_TEST(confirmed.has_value());
        auto ahead = co_await subject.confirm(replicas, {1, 8}, 1, 100ms);
        BOOST_TEST(!ahead.has_value());
    });
}

// Many concurrent writes: a single call to the replica confirms all that it holds.
BOOST_AUTO_TEST_CASE(one_answer_confirms_every_write_it_covers) {
    asio::io_context io;
    fake_replica replica{io};
    replica.received = {1, 100};
    const std::array replicas{replica.self};
    confirmer subject{io.get_executor()};
    std::size_t confirmed = 0;
    std::size_t remaining = 50;
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        for (std::uint64_t position = 1; position <= 50; ++position) {
            asio::co_spawn(
                io,
                [&, position]() -> asio::awaitable<void> {
                    auto answer = co_await subject.confirm(replicas, {1, position}, 1, 2s);
                    confirmed += answer ? 1 : 0;
                    --remaining;
                },
                asio::detached);
        }
        while (remaining > 0) {
            co_await sleep_for(1ms);
        }
        BOOST_TEST(confirmed == 50u);
        BOOST_TEST(replica.polls < 5u);
    });
}
