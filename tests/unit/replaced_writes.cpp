#include <boost/test/unit_test.hpp>

#include "cornellever/proxy/backend_connections.hpp"
#include "cornellever/proxy/write_path.hpp"
#include "fake_backend.hpp"
#include "fake_peer.hpp"
#include "fake_replica.hpp"

using namespace cornellever;
using namespace cornellever::proxy;
using namespace cornellever::test;
using namespace std::chrono_literals;

namespace {

constexpr term_position replaced_write{1, 40};

/// An instance that can be promoted to primary.
struct fake_instance : fake_replica {
    explicit fake_instance(asio::io_context& io) : fake_replica{io} {
        server.on("find_entry", [this](const Json::Value& in, rpc::connection&) { return find(in); });
        received = {2, 41};
    }

    asio::awaitable<result<Json::Value>> find(const Json::Value& in) {
        const term_position requested{in["entry_term"].asUInt64(), in["position"].asUInt64()};
        Json::Value out;
        out["held"] = requested == replaced_write && holds_replaced_write;
        out["term"] = static_cast<Json::UInt64>(received.term);
        out["position"] = static_cast<Json::UInt64>(received.position);
        co_return out;
    }

    bool holds_replaced_write{true};
};

/// A proxy whose primary, walu, is replaced by laucala in term 2 by `promote`.
struct proxy_fixture {
    proxy_fixture() {
        auto config = one_instance(walu.self.address);
        auto& instances = config.services[0].databases[0].instances;
        instances.push_back({"laucala", "laucala", to_string(laucala.self.address), 2});
        instances.push_back({"nabua", "nabua", to_string(nabua.self.address), 2});
        backends.update(config);
        backends.record(primary_heartbeat());
        old_primary = *backends.known_instances().primary("stockbook", "orders", std::chrono::steady_clock::now());
    }

    void promote() {
        auto report = primary_heartbeat(2);
        report.key = "stockbook/orders/laucala";
        backends.record(report);
    }

    /// Acknowledges the replaced write with the given deadline; `token` holds the session afterwards.
    result<void> acknowledge(std::chrono::milliseconds deadline) {
        result<void> answer;
        run_coroutine(io, [&]() -> asio::awaitable<void> {
            answer = co_await writes.acknowledge(old_primary, replaced_write, token,
                                                 std::chrono::steady_clock::now() + deadline);
        });
        return answer;
    }

    asio::io_context io;
    fake_instance walu{io};
    fake_instance laucala{io};
    fake_instance nabua{io};
    backend_connections backends{io.get_executor(), {}};
    write_path writes{backends};
    instance_view old_primary;
    session_token token;
};

} // namespace

// A write that the next primary holds must be acknowledged, not answered with an unknown outcome.
BOOST_AUTO_TEST_CASE(a_write_in_the_next_primarys_log_is_acknowledged) {
    proxy_fixture fixture;
    fixture.promote();
    BOOST_TEST(fixture.acknowledge(2s).has_value());
    BOOST_TEST((fixture.token.last_write_to("stockbook/orders") == replaced_write));
}

// A write that the next primary dropped must be reported as not run, not with an unknown outcome.
BOOST_AUTO_TEST_CASE(a_write_missing_from_the_next_primarys_log_did_not_run) {
    proxy_fixture fixture;
    fixture.laucala.holds_replaced_write = false;
    fixture.promote();
    const auto answer = fixture.acknowledge(2s);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().code == errc::not_run));
}

// A new primary that no majority follows must not decide the outcome of a write.
BOOST_AUTO_TEST_CASE(a_primary_without_a_majority_decides_no_outcome) {
    for (const bool holds : {true, false}) {
        proxy_fixture fixture;
        fixture.laucala.holds_replaced_write = holds;
        fixture.walu.received = fixture.nabua.received = {3, 42};
        fixture.promote();
        const auto answer = fixture.acknowledge(300ms);
        BOOST_REQUIRE(!answer.has_value());
        BOOST_TEST((answer.error().code == errc::outcome_unknown));
    }
}

// The next primary appears only after the replicas refused the write; the outcome must still be found.
BOOST_AUTO_TEST_CASE(a_refused_write_waits_for_the_next_primary) {
    proxy_fixture fixture;
    asio::steady_timer promotion_timer{fixture.io, 200ms};
    promotion_timer.async_wait([&](const boost::system::error_code&) { fixture.promote(); });
    BOOST_TEST(fixture.acknowledge(2s).has_value());
}
