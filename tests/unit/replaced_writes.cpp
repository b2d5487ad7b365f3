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

constexpr write_mark replaced_write{1, 40};

/// An instance that leads once it is promoted.
struct fake_instance : fake_replica {
    explicit fake_instance(asio::io_context& io) : fake_replica{io} {
        server.on("find_entry", [this](const Json::Value& in, rpc::connection&) { return find(in); });
        held = {2, 41};
    }

    asio::awaitable<result<Json::Value>> find(const Json::Value& in) {
        const write_mark asked{in["entry_term"].asUInt64(), in["position"].asUInt64()};
        Json::Value out;
        out["held"] = asked == replaced_write && holds_replaced_write;
        out["term"] = static_cast<Json::UInt64>(held.term);
        out["position"] = static_cast<Json::UInt64>(held.position);
        co_return out;
    }

    bool holds_replaced_write{true};
};

/// A proxy whose primary, walu, was replaced by laucala in term 2.
struct rig {
    rig() {
        auto known = one_instance(walu.self.address);
        auto& instances = known.services[0].databases[0].instances;
        instances.push_back({"laucala", "laucala", to_string(laucala.self.address), 2});
        instances.push_back({"nabua", "nabua", to_string(nabua.self.address), 2});
        links.update(known);
        links.record(primary_beat());
        old_primary = *links.known().primary("stockbook", "orders", std::chrono::steady_clock::now());
    }

    void promote() {
        auto beat = primary_beat(2);
        beat.key = "stockbook/orders/laucala";
        links.record(beat);
    }

    /// What the caller of the replaced write is told, and its session afterwards.
    result<void> acknowledge(std::chrono::milliseconds deadline) {
        result<void> told;
        run_coroutine(io, [&]() -> asio::awaitable<void> {
            told = co_await writes.acknowledge(old_primary, replaced_write, token,
                                               std::chrono::steady_clock::now() + deadline);
        });
        return told;
    }

    asio::io_context io;
    fake_instance walu{io};
    fake_instance laucala{io};
    fake_instance nabua{io};
    backend_links links{io.get_executor(), {}};
    write_path writes{links};
    instance_view old_primary;
    session_token token;
};

} // namespace

// Guards against an unknown outcome for a write that the next primary has.
BOOST_AUTO_TEST_CASE(a_write_in_the_next_primarys_log_is_acknowledged) {
    rig at;
    at.promote();
    BOOST_TEST(at.acknowledge(2s).has_value());
    BOOST_TEST((at.token.mark_of("stockbook/orders") == replaced_write));
}

// Guards against an unknown outcome for a write that the next primary dropped.
BOOST_AUTO_TEST_CASE(a_write_missing_from_the_next_primarys_log_did_not_run) {
    rig at;
    at.laucala.holds_replaced_write = false;
    at.promote();
    const auto told = at.acknowledge(2s);
    BOOST_REQUIRE(!told.has_value());
    BOOST_TEST((told.error().code == errc::not_run));
}

// Guards against a final answer from a primary that no majority follows.
BOOST_AUTO_TEST_CASE(a_primary_without_a_majority_settles_nothing) {
    for (const bool holds : {true, false}) {
        rig at;
        at.laucala.holds_replaced_write = holds;
        at.walu.held = at.nabua.held = {3, 42};
        at.promote();
        const auto told = at.acknowledge(300ms);
        BOOST_REQUIRE(!told.has_value());
        BOOST_TEST((told.error().code == errc::outcome_unknown));
    }
}

// Guards against an unknown outcome when the next primary shows up only after the refusal.
BOOST_AUTO_TEST_CASE(a_refused_write_waits_for_the_next_primary) {
    rig at;
    asio::steady_timer later{at.io, 200ms};
    later.async_wait([&](const boost::system::error_code&) { at.promote(); });
    BOOST_TEST(at.acknowledge(2s).has_value());
}
