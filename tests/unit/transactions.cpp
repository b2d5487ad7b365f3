#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/transaction_table.hpp"
#include "fake_backend.hpp"
#include "fake_peer.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

/// The traffic side of a proxy in front of one fake backend.
struct proxy_fixture {
    proxy_fixture() {
        backends.update(one_instance(backend.address));
        backends.record(primary_heartbeat());
    }

    [[nodiscard]] instance_view primary() {
        return *backends.known_instances().primary("stockbook", "orders", clock::now());
    }

    using clock = std::chrono::steady_clock;

    asio::io_context io;
    fake_backend backend{io};
    backend_connections backends{io.get_executor(), {}};
    write_path writes{backends};
    transaction_table table{backends, writes};
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

// A caller sends BEGIN as an ordinary statement. If its connection went back to the pool, another caller's statement
// would run inside this transaction.
BOOST_AUTO_TEST_CASE(a_connection_left_in_a_transaction_is_closed) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        auto refused = co_await fixture.backends.call(fixture.primary(), "execute", text("BEGIN"), 100ms, 500ms);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().code == errc::bad_request));
        const auto refused_connection = fixture.backend.last_connection;
        auto next = co_await fixture.backends.call(fixture.primary(), "execute", text("INSERT"), 100ms, 500ms);
        BOOST_TEST(next.has_value());
        BOOST_TEST(fixture.backend.last_connection != refused_connection);
        BOOST_TEST(!fixture.backend.last_in_transaction);
    });
}

// A caller disconnects with an open transaction. The pinned backend connection must be closed, which rolls back, and
// not be reused.
BOOST_AUTO_TEST_CASE(a_disconnected_callers_transaction_is_rolled_back) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        auto caller = std::make_unique<rpc::connection>();
        caller->id = 7;
        auto begun =
            co_await fixture.table.begin(fixture.service, begin_on_orders(), *caller, proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        BOOST_TEST(fixture.table.open() == 1u);
        caller.reset();
        BOOST_TEST(fixture.table.open() == 0u);
        auto next = co_await fixture.backends.call(fixture.primary(), "execute", text("INSERT"), 100ms, 500ms);
        BOOST_TEST(next.has_value());
        BOOST_TEST(!fixture.backend.last_in_transaction);
    });
}

// Another caller names the first caller's transaction, by mistake or on purpose.
BOOST_AUTO_TEST_CASE(another_connection_cannot_run_statements_in_a_transaction) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        rpc::connection first_caller;
        first_caller.id = 1;
        rpc::connection other_caller;
        other_caller.id = 2;
        auto begun = co_await fixture.table.begin(fixture.service, begin_on_orders(), first_caller,
                                                  proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto refused = co_await fixture.table.execute(statement, other_caller, proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().code == errc::not_run));
        auto own = co_await fixture.table.execute(statement, first_caller, proxy_fixture::clock::now() + 1s);
        BOOST_TEST(own.has_value());
    });
}

// The backend lost a transaction (a restart, a change of role) and ran its next statement outside of it. The caller
// must get an error, and no further statement of the transaction may run.
BOOST_AUTO_TEST_CASE(a_transaction_lost_by_the_backend_is_ended) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        rpc::connection caller;
        caller.id = 1;
        auto begun =
            co_await fixture.table.begin(fixture.service, begin_on_orders(), caller, proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        fixture.backend.open.clear();
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto outside_transaction = co_await fixture.table.execute(statement, caller, proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(!outside_transaction.has_value());
        BOOST_TEST((outside_transaction.error().code == errc::outcome_unknown));
        BOOST_TEST(fixture.table.open() == 0u);
    });
}

// The network dropped all open connections; new ones work. The first call on a dropped connection times out and closes
// the idle ones, so the next call does not time out as well.
BOOST_AUTO_TEST_CASE(a_call_timeout_closes_the_idle_connections) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        auto first = co_await fixture.backends.acquire(fixture.primary(), 100ms);
        auto second = co_await fixture.backends.acquire(fixture.primary(), 100ms);
        for (auto* connection : {&*first, &*second}) {
            auto answered = co_await backend_connections::call_on(*connection, "execute", text("SELECT"), 500ms);
            BOOST_TEST(answered.has_value());
            connection->release();
        }
        fixture.backend.unanswered_up_to = fixture.backend.last_connection;
        auto timed_out = co_await fixture.backends.call(fixture.primary(), "execute", text("SELECT"), 100ms, 100ms);
        BOOST_REQUIRE(!timed_out.has_value());
        BOOST_TEST((timed_out.error().code == errc::outcome_unknown));
        auto next = co_await fixture.backends.call(fixture.primary(), "execute", text("SELECT"), 100ms, 100ms);
        BOOST_TEST(next.has_value());
    });
}

// A connection fails silently in the middle of a transaction. The backend never sees it close and would hold the locks
// for good, so the transaction is terminated over another connection.
BOOST_AUTO_TEST_CASE(a_timed_out_connections_transaction_is_terminated_over_another) {
    proxy_fixture fixture;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        rpc::connection caller;
        caller.id = 1;
        auto begun =
            co_await fixture.table.begin(fixture.service, begin_on_orders(), caller, proxy_fixture::clock::now() + 1s);
        BOOST_REQUIRE(begun.has_value());
        BOOST_TEST(fixture.backend.open.size() == 1u);
        fixture.backend.unanswered_up_to = 1000;
        execute_request statement;
        statement.sql = "INSERT";
        statement.transaction = (*begun)["transaction"].asString();
        auto timed_out = co_await fixture.table.execute(statement, caller, proxy_fixture::clock::now() + 100ms);
        BOOST_REQUIRE(!timed_out.has_value());
        BOOST_TEST((timed_out.error().code == errc::not_run));
        co_await sleep_for(100ms);
        BOOST_TEST(fixture.backend.open.empty());
    });
}

// A call waits on the old, unresponsive primary when another instance becomes primary. It must fail at once instead of
// at its deadline.
BOOST_AUTO_TEST_CASE(calls_on_a_replaced_unresponsive_primary_are_cut_short) {
    proxy_fixture fixture;
    auto two = one_instance(fixture.backend.address);
    two.version = 2;
    two.services[0].databases[0].instances.push_back({"nabua", "nabua", "127.0.0.1:9", 2});
    fixture.backends.update(two);
    fixture.backend.unanswered_up_to = 1000;
    run_coroutine(fixture.io, [&]() -> asio::awaitable<void> {
        const auto started = proxy_fixture::clock::now();
        asio::co_spawn(
            fixture.io,
            [&]() -> asio::awaitable<void> {
                co_await sleep_for(450ms);
                auto report = primary_heartbeat(2);
                report.key = "stockbook/orders/nabua";
                fixture.backends.record(report);
            },
            asio::detached);
        auto closed = co_await fixture.backends.call(fixture.primary(), "execute", text("INSERT"), 100ms, 5s);
        BOOST_REQUIRE(!closed.has_value());
        BOOST_TEST((closed.error().code == errc::outcome_unknown));
        BOOST_TEST((proxy_fixture::clock::now() - started < 3s));
    });
}

// The wait queue for a primary is full: the next request is refused at once, as not run and with a retry delay.
BOOST_AUTO_TEST_CASE(a_full_primary_wait_queue_refuses_at_once) {
    asio::io_context io;
    backend_connections backends{io.get_executor(), {.max_primary_waiters = 0}};
    run_coroutine(io, [&]() -> asio::awaitable<void> {
        auto refused = co_await backends.await_primary("stockbook", "orders", proxy_fixture::clock::now() + 10s);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(guarantees_not_executed(refused.error().code));
        BOOST_TEST(refused.error().retry_after.count() > 0);
    });
}
