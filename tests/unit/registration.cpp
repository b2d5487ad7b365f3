#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "cornellever/cluster/registration.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/daemon.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

namespace {

/// A store that executes the writes to a table one after another and refuses a write if too many
/// are waiting. A write whose answer takes longer than `timeout` fails at its caller, although the
/// store executes it.
struct serial_store {
    static constexpr auto write_time = 500us;
    static constexpr auto max_wait = 100ms;

    std::chrono::milliseconds timeout{150};
    boot_clock::time_point busy_until{};
    std::size_t calls{0};
    std::vector<cluster::store_row> rows;
    bool lists_old_copy{false};

    asio::awaitable<result<std::uint64_t>> write(std::string, std::string key, std::string value) {
        ++calls;
        const auto now = boot_clock::now();
        if (busy_until - now > max_wait) {
            co_return fail(errc::busy, "too many writes are waiting");
        }
        busy_until = std::max(busy_until, now) + write_time;
        rows.push_back({key, value, rows.size() + 1, false});
        if (busy_until - now > timeout) {
            co_await sleep_for(timeout);
            co_return fail(errc::outcome_unknown, "no answer");
        }
        co_await sleep_for(std::chrono::ceil<std::chrono::milliseconds>(busy_until - now));
        co_return rows.size();
    }
    asio::awaitable<result<cluster::store_rows>> list(std::string) {
        ++calls;
        if (lists_old_copy) {
            co_return cluster::store_rows{};
        }
        co_return cluster::store_rows{rows, rows.size(), 0ms};
    }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t, std::chrono::milliseconds) {
        co_return cluster::store_rows{};
    }
    asio::awaitable<result<cluster::store_row>> read(std::string, std::string) { co_return cluster::store_row{}; }
    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string, std::uint64_t) {
        co_return 0;
    }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }
};

using registration = cluster::registration<serial_store>;

asio::awaitable<void> count_if_registered(registration& proxy, bool in_table, std::size_t& registered) {
    (void)co_await proxy.run(in_table, [](cluster::store_rows) -> asio::awaitable<void> { co_return; });
    ++registered;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registering)

// Guards against proxies that start together and never register: they kept the store at its limit,
// where each answer came after the timeout, and so knew only some of the other proxies.
BOOST_AUTO_TEST_CASE(many_proxies_that_start_together_all_register) {
    constexpr std::size_t count = 1000;
    event_loop io;
    serial_store store;
    std::vector<std::unique_ptr<registration>> proxies;
    std::size_t registered = 0;
    for (std::size_t i = 0; i < count; ++i) {
        proxies.push_back(std::make_unique<registration>(
            store, "proxies", registration::row{"proxy-" + std::to_string(i), "address"}, backoff{40ms, 640ms, i}));
        asio::co_spawn(io, count_if_registered(*proxies.back(), false, registered), asio::detached);
    }
    // The store needs 0.5 s for the writes.
    io.run_for(3s);
    BOOST_TEST(registered == count);
    BOOST_TEST(store.calls < 7 * count);
    io.destroy_suspended_coroutines();
}

// Guards against writing the row again without a pause while the store lists an old copy.
BOOST_AUTO_TEST_CASE(a_proxy_missing_from_an_old_copy_pauses) {
    event_loop io;
    serial_store store;
    store.lists_old_copy = true;
    registration proxy{store, "proxies", {"self", "address"}, backoff{40ms, 640ms, 1}};
    std::size_t registered = 0;
    asio::co_spawn(io, count_if_registered(proxy, true, registered), asio::detached);
    io.run_for(500ms);
    BOOST_TEST(store.calls <= 20U);
    store.lists_old_copy = false;
    io.restart();
    io.run_for(1s);
    BOOST_TEST(registered == 1U);
    io.destroy_suspended_coroutines();
}

BOOST_AUTO_TEST_SUITE_END()
