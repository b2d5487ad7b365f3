#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// A proxy with a primed connection to `p`, which is then replaced by `r1`, as a peer reports. `r2` cannot be reached.
struct proxy_after_promotion : proxy_in_memory {
    decltype(host.pool_for("stock")) pool{host.pool_for("stock")};

    proxy_after_promotion() {
        const auto now = boot_clock::now();
        pool.add_sample({now - 2s, {1, 10}});
        pool.add_sample({now - 1s, {1, 200}});
        caller_script before{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
        play({&before});
        server("p").is_primary = false;
        server("r1").is_primary = true;
        server("r1").position = {2, 200};
        server("r2").connect_fails = routing::connect_failure::refused;
    }

    void adopt_new_primary() { pool.accept_peer_confirmation("r1", boot_clock::now()); }

    /// Lets the pool poll the position of `p`, which lags.
    void poll_former_primary() {
        pool.entries().at("p")->progress.note({1, 10}, boot_clock::now() - 500ms, pool.floor());
        run_for(20ms);
    }

    [[nodiscard]] std::size_t statements_outside_transactions(const std::string& id) {
        const auto statements = server("p").of(id);
        return static_cast<std::size_t>(
            std::ranges::count_if(statements, [](const auto& item) { return !item.in_transaction; }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(primed_connections)

// Guards against statements of a read-only transaction that run outside of it: a poll for the log position ended the
// transaction that was opened ahead of use, but the connection still counted as primed.
BOOST_AUTO_TEST_CASE(a_poll_for_the_position_ends_the_transaction_opened_ahead_of_use) {
    proxy_after_promotion proxy;
    BOOST_TEST(proxy.server("p").connections == 1);
    proxy.adopt_new_primary();
    proxy.poll_former_primary();
    caller_script caller{.events = {opening("own"), request("b", statement_kind::begin_read_only),
                                    request("c", statement_kind::read, "1"), request("d", statement_kind::read, "2"),
                                    request("e", statement_kind::commit)}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 4U);
    for (const auto* id : {"c", "d", "e"}) {
        BOOST_TEST(proxy.statements_outside_transactions(id) == 0U);
    }
    BOOST_TEST(proxy.server("p").of("c").size() + proxy.server("r1").of("c").size() == 1U);
}

// Guards against reads that the former primary refuses although it may serve them as a replica.
BOOST_AUTO_TEST_CASE(transactions_opened_ahead_of_use_end_when_a_peer_reports_a_new_primary) {
    proxy_after_promotion proxy;
    proxy.adopt_new_primary();
    BOOST_TEST((proxy.server("p").received_statements.back().kind == statement_kind::rollback));
    for (const auto& item : proxy.pool.entries().at("p")->open_connections) {
        BOOST_TEST(!item->primed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
