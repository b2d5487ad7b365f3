#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/backend_links.hpp"
#include "cornellever/proxy/transaction_table.hpp"
#include "fake_backend.hpp"
#include "fake_peer.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

/// A proxy's traffic side in front of one fake backend.
struct rig {
    rig() {
        links.update(one_instance(backend.address));
        links.record(primary_beat());
    }

    [[nodiscard]] instance_view primary() { return *links.known().primary("stockbook", "orders", clock::now()); }

    using clock = std::chrono::steady_clock;

    asio::io_context io;
    fake_backend backend{io};
    backend_links links{io.get_executor(), {}};
    write_path writes{links};
    transaction_table table{links, writes};
    config::service service;
};

Json::Value text(const char* sql) {
    Json::Value out;
    out["sql"] = sql;
    return out;
}

begin_request begin_on_orders() {
    begin_request out;
    out.service = "stockbook";
    out.database = "orders";
    return out;
}

} // namespace

// A caller sends BEGIN as an ordinary statement. Were its connection given
// back to the pool, the next caller's reservation would land inside this
// caller's transaction.
BOOST_AUTO_TEST_CASE(a_statement_that_opens_a_transaction_costs_its_connection) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        auto refused = co_await at.links.call(at.primary(), "execute", text("BEGIN"), 100ms, 500ms);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().code == errc::bad_request));
        const auto spoilt = at.backend.last_connection;
        auto next = co_await at.links.call(at.primary(), "execute", text("INSERT"), 100ms, 500ms);
        BOOST_TEST(next.has_value());
        BOOST_TEST(at.backend.last_connection != spoilt);
        BOOST_TEST(!at.backend.last_inside);
    });
}

// A caller begins a reservation and its connection is lost. Its transaction
// ends with it: the pinned backend connection is closed, not reused.
BOOST_AUTO_TEST_CASE(a_vanished_callers_transaction_is_not_inherited) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        auto caller = std::make_unique<rpc::connection>();
        caller->id = 7;
        auto begun = co_await at.table.begin(at.service, begin_on_orders(), *caller, rig::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        BOOST_TEST(at.table.open() == 1u);
        caller.reset();
        BOOST_TEST(at.table.open() == 0u);
        auto next = co_await at.links.call(at.primary(), "execute", text("INSERT"), 100ms, 500ms);
        BOOST_TEST(next.has_value());
        BOOST_TEST(!at.backend.last_inside);
    });
}

// Another caller names the transaction of the first, by mistake or malice.
BOOST_AUTO_TEST_CASE(another_connection_cannot_speak_in_a_transaction) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        rpc::connection owner;
        owner.id = 1;
        rpc::connection stranger;
        stranger.id = 2;
        auto begun = co_await at.table.begin(at.service, begin_on_orders(), owner, rig::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto refused = co_await at.table.execute(statement, stranger, rig::clock::now() + 1s);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().code == errc::not_run));
        auto own = co_await at.table.execute(statement, owner, rig::clock::now() + 1s);
        BOOST_TEST(own.has_value());
    });
}

// The backend lost a transaction (it restarted, or changed role) and ran the
// next statement of it by itself. The caller is not told that all is well,
// and nothing more of the transaction runs.
BOOST_AUTO_TEST_CASE(a_transaction_that_the_backend_lost_is_over) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        rpc::connection caller;
        caller.id = 1;
        auto begun = co_await at.table.begin(at.service, begin_on_orders(), caller, rig::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        at.backend.open.clear();
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto stray = co_await at.table.execute(statement, caller, rig::clock::now() + 1s);
        BOOST_REQUIRE(!stray.has_value());
        BOOST_TEST((stray.error().code == errc::outcome_unknown));
        BOOST_TEST(at.table.open() == 0u);
    });
}

// Something between proxy and backend forgot every open connection; new ones
// work. The first call on a silent one costs its deadline; the idle ones are
// dropped with it, so the next caller does not pay as well.
BOOST_AUTO_TEST_CASE(one_silent_connection_costs_the_idle_ones_too) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        auto first = co_await at.links.acquire(at.primary(), 100ms);
        auto second = co_await at.links.acquire(at.primary(), 100ms);
        for (auto* link : {&*first, &*second}) {
            auto warm = co_await backend_links::call_on(*link, "execute", text("SELECT"), 500ms);
            BOOST_TEST(warm.has_value());
            link->release();
        }
        at.backend.silent_up_to = at.backend.last_connection;
        auto lost = co_await at.links.call(at.primary(), "execute", text("SELECT"), 100ms, 100ms);
        BOOST_REQUIRE(!lost.has_value());
        BOOST_TEST((lost.error().code == errc::outcome_unknown));
        auto next = co_await at.links.call(at.primary(), "execute", text("SELECT"), 100ms, 100ms);
        BOOST_TEST(next.has_value());
    });
}

// A connection goes silent in the middle of a transaction. The backend never
// sees it close, so the transaction would hold its locks for good; it is
// ended over another connection.
BOOST_AUTO_TEST_CASE(a_silent_connections_transaction_is_ended_over_another) {
    rig at;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        rpc::connection caller;
        caller.id = 1;
        auto begun = co_await at.table.begin(at.service, begin_on_orders(), caller, rig::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        BOOST_TEST(at.backend.open.size() == 1u);
        at.backend.silent_up_to = 1000;
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto lost = co_await at.table.execute(statement, caller, rig::clock::now() + 100ms);
        BOOST_REQUIRE(!lost.has_value());
        BOOST_TEST((lost.error().code == errc::not_run));
        co_await sleep_for(100ms);
        BOOST_TEST(at.backend.open.empty());
    });
}

// While another instance leads, a caller waits on the old, silent primary.
// It is told at once that its answer will not come.
BOOST_AUTO_TEST_CASE(callers_of_a_replaced_silent_primary_are_freed) {
    rig at;
    auto two = one_instance(at.backend.address);
    two.version = 2;
    two.services[0].databases[0].instances.push_back({"nabua", "nabua", "127.0.0.1:9", 2});
    at.links.update(two);
    at.backend.silent_up_to = 1000;
    run_coroutine(at.io, [&]() -> asio::awaitable<void> {
        const auto started = rig::clock::now();
        asio::co_spawn(
            at.io,
            [&]() -> asio::awaitable<void> {
                co_await sleep_for(450ms);
                auto beat = primary_beat(2);
                beat.key = "stockbook/orders/nabua";
                at.links.record(beat);
            },
            asio::detached);
        auto cut = co_await at.links.call(at.primary(), "execute", text("INSERT"), 100ms, 5s);
        BOOST_REQUIRE(!cut.has_value());
        BOOST_TEST((cut.error().code == errc::outcome_unknown));
        BOOST_TEST((rig::clock::now() - started < 3s));
    });
}

// Too many callers already wait for a primary: the next is refused at once,
// as not run, and told when to come back.
BOOST_AUTO_TEST_CASE(a_full_queue_for_a_primary_refuses_at_once) {
    asio::io_context io;
    backend_links links{io.get_executor(), {.max_primary_waiters = 0}};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        auto refused = co_await links.await_primary("stockbook", "orders", rig::clock::now() + 10s);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(guarantees_not_executed(refused.error().code));
        BOOST_TEST(refused.error().retry_after.count() > 0);
    });
}
