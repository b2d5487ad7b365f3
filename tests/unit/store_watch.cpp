#include <boost/test/unit_test.hpp>

#include <deque>

#include "cornellever/cluster/counted_store.hpp"
#include "cornellever/cluster/table_follower.hpp"
#include "cornellever/cluster/table_freshness.hpp"
#include "cornellever/core/daemon.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using cluster::store_purpose;

namespace {

/// A store with one row. It can be down, and it records when it was queried.
struct fake_store {
    bool down{false};
    /// Whether the change history does not reach back to any version.
    bool history_gone{false};
    std::uint64_t version{5};
    std::vector<boot_clock::time_point> query_times;

    asio::awaitable<result<cluster::store_rows>> list(std::string) { return answer(); }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t after,
                                                         std::chrono::milliseconds wait) {
        auto out = co_await answer();
        if (history_gone) {
            co_return fail(errc::behind, "history gone");
        }
        if (out && out->version <= after) {
            out->rows.clear();
            co_await sleep_for(wait);
        }
        co_return out;
    }
    asio::awaitable<result<cluster::store_rows>> answer() {
        query_times.push_back(boot_clock::now());
        if (down) {
            co_return fail(errc::unavailable, "down");
        }
        co_return cluster::store_rows{{{"a", std::to_string(version), version, false}}, version, 0ms};
    }
    asio::awaitable<result<cluster::store_row>> read(std::string, std::string) { co_return cluster::store_row{}; }
    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string, std::uint64_t) {
        co_return 0;
    }
    asio::awaitable<result<std::uint64_t>> write(std::string, std::string, std::string) {
        if (down) {
            co_return fail(errc::unavailable, "down");
        }
        co_return 1;
    }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }
};

/// A follower of that store, and the state reported by its peers.
struct follower_fixture {
    follower_fixture() { asio::co_spawn(io, follower.run(), asio::detached); }

    ~follower_fixture() { io.destroy_suspended_coroutines(); }

    void run_for_span(std::chrono::milliseconds span) {
        io.restart();
        io.run_for(span);
    }

    /// Peers keep confirming the copy as current.
    asio::awaitable<void> keep_confirming(std::chrono::milliseconds span) {
        const auto until = boot_clock::now() + span;
        while (boot_clock::now() < until) {
            mode.confirmed_current_at = boot_clock::now();
            co_await sleep_for(20ms);
        }
    }

    event_loop io;
    fake_store store;
    cluster::watch_mode mode{.polls_store = false, .confirm_within = 300ms};
    std::vector<std::uint64_t> versions;
    /// Whether the rows can be decoded.
    bool accepts_rows{true};
    boot_clock::time_point confirmed_current_at{};
    cluster::table_follower<fake_store> follower{store, "t", [this] { return mode; },
                                                 [this](const cluster::table_rows&, std::uint64_t version) {
                                                     versions.push_back(version);
                                                     return accepts_rows;
                                                 },
                                                 [this](boot_clock::time_point at) { confirmed_current_at = at; }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(watching_the_store)

// Guards against wasting store calls: if each of hundreds of proxies polls for rare changes, this
// makes up most of the calls that are paid for.
BOOST_AUTO_TEST_CASE(a_proxy_kept_current_by_peers_does_not_query_the_store) {
    follower_fixture table;
    asio::co_spawn(table.io, table.keep_confirming(1200ms), asio::detached);
    table.run_for_span(1000ms);
    BOOST_TEST(table.store.query_times.size() == 1U);
    BOOST_TEST((table.versions == std::vector<std::uint64_t>{5}));
}

// Guards against missing a configuration change: all proxies that polled the store were killed at
// the moment of the change, so no peer could report it.
BOOST_AUTO_TEST_CASE(a_proxy_without_confirmations_queries_the_store) {
    follower_fixture table;
    asio::co_spawn(table.io, table.keep_confirming(200ms), asio::detached);
    table.run_for_span(250ms);
    table.store.version = 6;
    table.run_for_span(600ms);
    BOOST_TEST((table.versions == std::vector<std::uint64_t>{5, 6}));
}

// As above, but a peer has the change already, so the proxy does not wait until the last
// confirmation is too old.
BOOST_AUTO_TEST_CASE(a_proxy_whose_peer_is_ahead_queries_the_store_at_once) {
    follower_fixture table;
    table.mode.confirm_within = 10s;
    table.run_for_span(50ms);
    table.store.version = 6;
    table.mode.behind = true;
    table.run_for_span(700ms);
    BOOST_TEST((table.versions == std::vector<std::uint64_t>{5, 6}));
    // A peer that is wrong must not make it query without a pause.
    table.run_for_span(900ms);
    BOOST_TEST(table.store.query_times.size() <= 5U);
}

// Guards against useless retries: a store that refused a third of the proxies for 9 s got two
// queries a second from each of them for each table, for data that their peers had already given
// them.
BOOST_AUTO_TEST_CASE(a_proxy_refused_by_the_store_relies_on_its_peers) {
    follower_fixture table;
    table.run_for_span(50ms);
    table.store.down = true;
    table.run_for_span(600ms);
    asio::co_spawn(table.io, table.keep_confirming(2500ms), asio::detached);
    table.run_for_span(2000ms);
    // The first query, one when no confirmation was recent enough, and one that checked whether the
    // store had recovered when peers confirmed the copy again.
    BOOST_TEST(table.store.query_times.size() <= 4U);
    BOOST_TEST(!table.follower.reachable());
}

// Guards against a delayed promotion: the store has recovered, but the proxy that should claim the
// promotion has not noticed.
BOOST_AUTO_TEST_CASE(a_store_that_recovered_for_others_is_queried_soon) {
    follower_fixture table;
    table.run_for_span(50ms);
    table.store.down = true;
    table.run_for_span(900ms);
    BOOST_TEST(!table.follower.reachable());
    table.store.down = false;
    asio::co_spawn(table.io, table.keep_confirming(1500ms), asio::detached);
    table.run_for_span(1000ms);
    BOOST_TEST(table.follower.reachable());
}

// Guards against reading a table without a pause: for seconds after the history was discarded, the
// store answered readings from a copy that was older than the history, and each polling proxy read
// thousands of rows a hundred times a second.
BOOST_AUTO_TEST_CASE(an_old_copy_at_the_store_is_not_read_again_and_again) {
    follower_fixture table;
    table.mode = {.polls_store = true, .confirm_within = 100ms};
    table.store.history_gone = true;
    table.run_for_span(1500ms);
    // One reading and one question for changes each at 0, 0, 0.1, 0.3, 0.7 and 1.5 s at the latest.
    BOOST_TEST(table.store.query_times.size() <= 14U);
    table.store.history_gone = false;
    table.store.version = 6;
    table.run_for_span(2000ms);
    BOOST_TEST(table.versions.back() == 6U);
}

// Guards against calls that grow with the cluster: while no proxy could confirm the configuration,
// each of hundreds queried the store every 3 s, and so did each that lacked a new version for 1.8 s.
BOOST_AUTO_TEST_CASE(a_bounded_number_of_proxies_queries_the_store_when_peers_have_no_confirmation) {
    using cluster::max_overdue_readers;
    BOOST_TEST(max_overdue_readers(32, -1ms, 500ms) == 0U);
    BOOST_TEST(max_overdue_readers(32, 0ms, 500ms) == 32U);
    BOOST_TEST(max_overdue_readers(32, 1100ms, 500ms) == 128U);
    BOOST_TEST(max_overdue_readers(32, 24h, 500ms) > 3500U);
    follower_fixture table;
    table.mode.queries_if_unconfirmed = false;
    table.run_for_span(1000ms);
    BOOST_TEST(table.store.query_times.size() == 1U);
    table.mode.queries_if_unconfirmed = true;
    table.run_for_span(200ms);
    BOOST_TEST(table.store.query_times.size() == 2U);
}

// Guards against missing a configuration change on a proxy that only the store still reaches: such a
// proxy must not wait until others have queried the store.
BOOST_AUTO_TEST_CASE(a_proxy_cut_off_from_its_peers_hears_no_answers) {
    cluster::table_freshness freshness;
    const boot_clock::time_point at{1h};
    BOOST_TEST(!freshness.hears_from_peers(at));
    freshness.note_peer_version(6, 6, at - 5s, at);
    BOOST_TEST(freshness.hears_from_peers(at + 900ms));
    BOOST_TEST(!freshness.hears_from_peers(at + 1100ms));
    freshness.note_peer_version(7, 6, at, at);
    BOOST_TEST((freshness.behind_for(6, at) < 0ms));
    BOOST_TEST((freshness.behind_for(6, at + 2s) == 200ms));
    BOOST_TEST((freshness.behind_for(7, at + 2s) < 0ms));
}

// A long poll confirms the copy up to the end of its wait, but never for a time after it was
// answered.
BOOST_AUTO_TEST_CASE(a_long_poll_confirms_the_copy_up_to_its_end) {
    follower_fixture table;
    table.mode = {.polls_store = true, .confirm_within = 100ms};
    const auto begun = boot_clock::now();
    table.run_for_span(250ms);
    BOOST_TEST((table.confirmed_current_at >= begun + 100ms));
    BOOST_TEST((table.confirmed_current_at <= boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(an_older_version_at_a_peer_confirms_nothing) {
    cluster::table_freshness freshness;
    const boot_clock::time_point at{1h};
    freshness.note_peer_version(6, 6, at, at);
    BOOST_TEST((freshness.confirmed_current_at() == at));
    freshness.note_peer_version(5, 6, at + 1s, at + 1s);
    BOOST_TEST((freshness.confirmed_current_at() == at));
    BOOST_TEST(!freshness.behind(6, at + 10s));
    freshness.note_peer_version(7, 6, at + 1s, at + 2s);
    BOOST_TEST((freshness.confirmed_current_at() == at));
    // Peers get the time to pass it on.
    BOOST_TEST(!freshness.behind(6, at + 2s));
    BOOST_TEST(freshness.behind(6, at + 4s));
    BOOST_TEST(!freshness.behind(7, at + 4s));
}

// Guards against a store that lost the newest configuration and confirms the one before it as
// current.
BOOST_AUTO_TEST_CASE(a_store_with_an_older_version_confirms_nothing) {
    cluster::table_freshness freshness;
    freshness.note_store_version(6);
    BOOST_TEST(freshness.store_confirms(6));
    freshness.note_store_version(5);
    BOOST_TEST(!freshness.store_confirms(6));
    BOOST_TEST(freshness.store_confirms(5));
    freshness.note_store_version(6);
    BOOST_TEST(freshness.store_confirms(6));
    const boot_clock::time_point at{1h};
    freshness.note_peer_version(7, 6, at, at);
    BOOST_TEST(!freshness.store_confirms(6));
}

BOOST_AUTO_TEST_CASE(calls_are_counted_by_table_and_purpose) {
    event_loop io;
    fake_store store;
    cluster::counted_store counted{store};
    const auto call = [&]() -> asio::awaitable<void> {
        (void)co_await counted.list("t");
        (void)co_await counted.list("t");
        (void)co_await counted.changes("t", 5, 0ms);
        (void)co_await counted.write("proxies", "self", "x");
        (void)co_await counted.read("claims", "s");
        store.down = true;
        (void)co_await counted.changes("t", 5, 0ms);
        (void)co_await counted.changes("t", 5, 0ms);
    };
    asio::co_spawn(io, call(), asio::detached);
    io.run();
    const auto of = [&](std::string_view table, store_purpose why) -> std::uint64_t {
        for (const auto& item : counted.counts()) {
            if (item.table == table && item.why == why) {
                return item.calls;
            }
        }
        return 0;
    };
    BOOST_TEST(of("t", store_purpose::first_reading) == 1U);
    BOOST_TEST(of("t", store_purpose::reading_again) == 1U);
    BOOST_TEST(of("t", store_purpose::waiting) == 2U);
    BOOST_TEST(of("t", store_purpose::retry) == 1U);
    BOOST_TEST(of("proxies", store_purpose::own_row) == 1U);
    BOOST_TEST(of("claims", store_purpose::claim) == 1U);
}

// Guards against accepting a revoked key: a configuration change could not be decoded, and the
// proxy took its older copy for current because the store had answered.
BOOST_AUTO_TEST_CASE(rejected_rows_confirm_nothing) {
    follower_fixture table;
    table.accepts_rows = false;
    table.run_for_span(100ms);
    BOOST_TEST(table.versions.size() == 1U);
    BOOST_TEST((table.confirmed_current_at == boot_clock::time_point{}));
}

BOOST_AUTO_TEST_SUITE_END()
