#include <boost/test/unit_test.hpp>

#include <map>

#include "cornellever/cluster/charts.hpp"
#include "cornellever/cluster/handover.hpp"
#include "cornellever/cluster/handover_judge.hpp"
#include "cornellever/cluster/handover_watch.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/traffic_bridge.hpp"
#include "cornellever/core/daemon.hpp"
#include "cornellever/session/serve_settings.hpp"
#include "fake_peer.hpp"
#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using cluster::handover_reason;
using cluster::handover_view;
using sql::statement_kind;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};

handover_reason reason_of(std::vector<handover_view> views, cluster::handover_evidence evidence = {}) {
    evidence.replicas_serve_reads = true;
    evidence.slots = 5;
    evidence.views = views;
    return cluster::judge_handover(evidence).reason;
}

constexpr cluster::handover_judgement in_favour{.reason = handover_reason::replicas_behind};

/// The store's row of claims, the platform and the servers of a service. The primary `p` has
/// received {1,100}; the replicas what a test sets.
struct fake_service {
    std::string row;
    std::chrono::milliseconds store_time{60'000};
    bool store_answers{true};
    bool conflict{false};
    std::optional<sql::server_status> primary{{true, 1, {1, 100}}};
    /// The primary executes STEPDOWN and replies to it.
    bool fence_runs{true};
    bool fence_answers{true};
    bool dies_at_fence{false};
    std::map<std::string, std::uint64_t> received{{"r1", 100}, {"r2", 90}};
    std::uint64_t fenced_below{0};
    std::vector<std::string> orders;

    asio::awaitable<result<cluster::store_rows>> list(std::string) { co_return cluster::store_rows{}; }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t, std::chrono::milliseconds) {
        co_return cluster::store_rows{};
    }
    asio::awaitable<result<std::uint64_t>> write(std::string, std::string, std::string) { co_return 0; }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }
    asio::awaitable<result<cluster::store_row>> read(std::string, std::string key) {
        if (!store_answers) {
            co_return fail(errc::unavailable, "away");
        }
        co_return cluster::store_row{.key = key, .value = row, .version = 7, .store_time = store_time};
    }
    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string value, std::uint64_t) {
        if (conflict) {
            co_return fail(errc::conflict, "changed");
        }
        row = value;
        co_return 8;
    }
    asio::awaitable<result<void>> promote(std::string, std::string id, std::string, std::uint64_t) {
        orders.push_back(id);
        co_return result<void>{};
    }

    asio::awaitable<std::vector<cluster::replica_report>> query_replicas(std::string, std::string) {
        std::vector<cluster::replica_report> out;
        for (const auto& [id, number] : received) {
            out.push_back({.id = id, .received = {1, number}, .is_replica = true});
        }
        co_return out;
    }
    asio::awaitable<bool> is_primary_now(std::string, std::string, std::chrono::milliseconds) { co_return false; }
    asio::awaitable<bool> await_leadership(std::string, std::string, std::chrono::milliseconds) { co_return true; }
    asio::awaitable<std::optional<sql::server_status>> query_status(std::string, std::string id,
                                                                    std::chrono::milliseconds) {
        const auto found = received.find(id);
        if (found == received.end()) {
            co_return primary;
        }
        co_return sql::server_status{false, 1, {1, found->second}};
    }
    asio::awaitable<std::optional<sql::server_status>> step_down(std::string, std::string, std::uint64_t term,
                                                                 std::chrono::milliseconds) {
        fenced_below = term;
        if (fence_runs && primary) {
            primary->is_primary = false;
        }
        if (dies_at_fence) {
            primary.reset();
        }
        co_return fence_answers ? primary : std::nullopt;
    }
};

cluster::promotion_outcome run_handover(fake_service& service,
                                        cluster::claim_check_function check = &cluster::check_handover) {
    event_loop io;
    const auto promotion_chart = *state_chart::parse(cluster::charts::promotion, "promotion.ini");
    const auto handover_chart = *state_chart::parse(cluster::charts::handover, "handover.ini");
    cluster::promotion promotions{service, service, service, promotion_chart, "a", "a/1"};
    cluster::handover only{promotions.actions(), service, handover_chart};
    cluster::promotion_outcome out;
    asio::co_spawn(io, only.run("stock", "p", check),
                   [&](const std::exception_ptr&, cluster::promotion_outcome ended) { out = std::move(ended); });
    io.run();
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(handovers)

// Guards against a handover that stops writes without need, and against one that is left out, for each condition.
BOOST_AUTO_TEST_CASE(a_primary_is_handed_over_only_if_every_condition_holds) {
    const handover_view loaded{3, 20s, false};
    BOOST_TEST((reason_of({loaded, loaded}) == handover_reason::replicas_behind));
    BOOST_TEST((reason_of({loaded, {2, std::nullopt}}) == handover_reason::replicas_behind));
    BOOST_TEST((reason_of({loaded, {1, 20s}}) == handover_reason::few_waiting));
    BOOST_TEST((reason_of({{0, 20s}}) == handover_reason::few_waiting));
    BOOST_TEST((reason_of({loaded, loaded, {0, 3s}}) == handover_reason::replica_current));
    BOOST_TEST((reason_of({loaded, {3, 20s, true}}) == handover_reason::replica_catching_up));
    BOOST_TEST((reason_of({{9, std::nullopt}}) == handover_reason::no_usable_replica));
    BOOST_TEST((reason_of({loaded, loaded}, {.enabled = false}) == handover_reason::switched_off));
    BOOST_TEST((reason_of({loaded, loaded}, {.primary_known_for = 9900ms}) == handover_reason::primary_new));
    BOOST_TEST((reason_of({loaded, loaded}, {.primary_known_for = 10s}) == handover_reason::replicas_behind));
    const std::vector views{loaded, loaded};
    BOOST_TEST((cluster::judge_handover({.slots = 5, .views = views}).reason == handover_reason::no_replica_reads));
    BOOST_TEST((cluster::judge_handover({.slots = 0}).reason == handover_reason::few_waiting));
}

// Guards against a handover for a peak that ends by itself within a second.
BOOST_AUTO_TEST_CASE(the_judgement_has_to_hold_for_a_second) {
    cluster::handover_watch watch;
    BOOST_TEST(watch.record(in_favour, start));
    BOOST_TEST(!watch.record(in_favour, start + 900ms));
    BOOST_TEST(!watch.is_due(start + 900ms, 0ms));
    BOOST_TEST(watch.is_due(start + 1s, 0ms));
    BOOST_TEST(!watch.is_due(start + 1s, 250ms));
    BOOST_TEST(watch.record({}, start + 1s));
    BOOST_TEST(watch.record(in_favour, start + 1100ms));
    BOOST_TEST(!watch.is_due(start + 2s, 0ms));
    watch.note_attempt(start + 3s);
    watch.record(in_favour, start + 3s);
    BOOST_TEST(!watch.is_due(start + 5900ms, 0ms));
    BOOST_TEST(watch.is_due(start + 6s, 0ms));
}

// Guards against a handover right before a replica can serve the reads itself. A replica 20 s behind must not look as
// if it did not catch up because its lag in time is known for 10 s only.
BOOST_AUTO_TEST_CASE(a_replica_that_catches_up_is_recognised_by_its_missing_entries) {
    const auto catches_up = [](std::uint64_t from, std::uint64_t per_tick) {
        cluster::handover_watch watch;
        routing::primary_observation observed{.id = "p"};
        for (int i = 0; i <= 10; ++i) {
            observed.nearest = routing::replica_distance{10s, from - static_cast<std::uint64_t>(i) * per_tick};
            watch.observe(observed, start + i * 100ms);
        }
        return watch.view_of(observed).catching_up;
    };
    BOOST_TEST(catches_up(3900, 100));
    BOOST_TEST(!catches_up(5100, 100));
    BOOST_TEST(!catches_up(3000, 0));
    BOOST_TEST(catches_up(0, 0));
}

// Guards against a second handover within 10 s, and against none at all after a proxy has started.
BOOST_AUTO_TEST_CASE(a_primary_counts_as_new_only_if_it_replaced_another) {
    cluster::handover_watch watch;
    watch.observe({.id = "p"}, start);
    BOOST_TEST(!watch.primary_known_for(start + 1s));
    watch.observe({}, start + 1s);
    watch.observe({.id = "r1"}, start + 2s);
    BOOST_TEST((watch.primary_known_for(start + 5s) == 3s));
}

// Guards against reports that the other owners do not understand, and against an earlier version that takes a new
// flag for one of its own (u, r, l, s, f, e).
BOOST_AUTO_TEST_CASE(the_load_flags_round_trip_and_stay_clear_of_the_older_ones) {
    cluster::peer_message message{.what = cluster::peer_message::kind::answer, .sender = "a", .incarnation = 1};
    message.primaries.push_back({.service = "stock",
                                 .primary = "p",
                                 .waiting = 12,
                                 .expected_wait = 340ms,
                                 .shortest_lag = 20'480ms,
                                 .catching_up = true});
    message.primaries.push_back({.service = "idle", .primary = "q", .shortest_lag = 4s, .catching_up = true});
    message.primaries.push_back({.service = "bad", .primary = "q", .statements = routing::statement_health::all_break});
    message.primaries.push_back(
        {.service = "poor", .primary = "q", .statements = routing::statement_health::some_break});
    const auto bytes = cluster::encode(message);
    BOOST_TEST(bytes.ends_with(" stock p 0 0 .w12q340b20480g idle q 0 0 . bad q 0 0 .x poor q 0 0 .o"));
    BOOST_TEST((std::string{".w12q340b20480gxo"}.find_first_of("urlsfe") == std::string::npos));
    const auto back = cluster::decode(bytes);
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(back->primaries[0].waiting == 12U);
    BOOST_TEST((back->primaries[0].expected_wait == 340ms));
    BOOST_TEST((back->primaries[0].shortest_lag == 20'480ms));
    BOOST_TEST(back->primaries[0].catching_up);
    BOOST_TEST(!back->primaries[0].unreachable);
    BOOST_TEST(back->primaries[1].waiting == 0U);
    BOOST_TEST(!back->primaries[1].shortest_lag.has_value());
    BOOST_TEST((back->primaries[0].statements == routing::statement_health::unknown));
    BOOST_TEST((back->primaries[2].statements == routing::statement_health::all_break));
    BOOST_TEST((back->primaries[3].statements == routing::statement_health::some_break));
}

// Guards against commits that are lost or writes that stop for nothing when a step of a handover fails.
BOOST_AUTO_TEST_CASE(each_failure_ends_a_handover_as_the_chart_says) {
    struct branch {
        std::string event;
        std::vector<std::string> orders;
        std::uint64_t fenced_below{0};
        std::function<void(fake_service&)> prepare;
    };
    const cluster::promotion_claim recent{"b/1", "q", "p", 1, 50'100ms};
    const cluster::promotion_claim old{"b/1", "q", "p", 1, 50'000ms};
    const std::vector<branch> branches{
        {"leads", {"r1"}, 2, [](auto&) {}},
        {"leads", {"r1"}, 2, [&](auto& at) { at.row = cluster::encode(old); }},
        {"not_near", {}, 0, [](auto& at) { at.primary->received.number = 165; }},
        {"primary_silent", {}, 0, [](auto& at) { at.primary.reset(); }},
        {"replaced", {}, 0, [](auto& at) { at.primary->is_primary = false; }},
        {"no_successor", {}, 0, [](auto& at) { at.received.clear(); }},
        {"store_unreachable", {}, 0, [](auto& at) { at.store_answers = false; }},
        {"held_by_other", {}, 0, [](auto& at) { at.conflict = true; }},
        {"held_by_other", {}, 0, [&](auto& at) { at.row = cluster::encode(recent); }},
        {"leads", {"r1"}, 2, [](auto& at) { at.fence_answers = false; }},
        {"unanswered", {}, 2, [](auto& at) { at.dies_at_fence = true; }},
        {"leads_still", {}, 2, [](auto& at) { at.fence_answers = at.fence_runs = false; }},
        // The successor never receives the end of the log, so the old primary leads the next term.
        {"leads", {"p"}, 2, [](auto& at) { at.primary->received.number = 101; }},
    };
    for (const auto& item : branches) {
        fake_service service;
        item.prepare(service);
        const auto outcome = run_handover(service);
        BOOST_TEST(outcome.event == item.event);
        BOOST_TEST(service.orders == item.orders, boost::test_tools::per_element());
        BOOST_TEST(service.fenced_below == item.fenced_below);
    }
}

// Guards against commits that are acknowledged after the order and that the successor never receives, and against a
// wait of 10 s after another promotion, in which the primary may stop.
BOOST_AUTO_TEST_CASE(the_primary_of_a_service_with_synchronous_replicas_is_fenced_before_it_is_replaced) {
    const cluster::promotion_claim recent{"b/1", "q", "p", 1, 59'000ms, true};
    for (const std::uint64_t log_end : {100U, 101U}) {
        fake_service service;
        service.row = cluster::encode(recent);
        service.primary->received.number = log_end;
        const auto outcome = run_handover(service, &cluster::check_promotion);
        BOOST_TEST(outcome.event == "leads");
        BOOST_TEST(service.fenced_below == 2U);
        BOOST_TEST(outcome.successor == (log_end == 100 ? "r1" : "p"));
    }
}

// Guards against writes and transactions that are refused while a handover is under way, although they could wait for
// the new primary. The transaction begins on a connection that was primed before the fence.
BOOST_AUTO_TEST_CASE(writes_between_the_fence_and_the_new_primary_wait) {
    const std::vector<session::caller_event> write{request("w", statement_kind::write, "1 x")};
    const std::vector<session::caller_event> transaction{request("b", statement_kind::begin),
                                                         request("w", statement_kind::write, "1 x"),
                                                         request("c", statement_kind::commit)};
    for (const auto& events : {write, transaction}) {
        proxy_in_memory proxy;
        caller_script caller{.events = {opening("strict"), request("first", statement_kind::read, "1")}};
        caller.events.insert(caller.events.end(), events.begin(), events.end());
        caller.before[2] = [&] {
            proxy.server("p").is_primary = false;
            proxy.later(120ms, [&] {
                proxy.server("r1").position.term = 2;
                proxy.server("r1").is_primary = true;
            });
        };
        proxy.play_together({&caller}, [&] { proxy.host.tick(); });
        BOOST_TEST(caller.answers.size() == events.size() + 1);
        for (const auto& answer : caller.answers) {
            BOOST_TEST(answer.ok(), answer.error_text());
        }
        BOOST_TEST(proxy.server("r1").of("w").size() == 1U);
    }
}

// Guards against reads that are refused by the old primary right after the fence, once on each connection that was
// primed before, although the server may serve them as a replica.
BOOST_AUTO_TEST_CASE(a_fenced_primary_serves_reads) {
    proxy_in_memory proxy;
    for (const auto* id : {"r1", "r2"}) {
        proxy.server(id).connect_fails = routing::connect_failure::refused;
    }
    auto& pool = proxy.host.pool_for("stock");
    pool.set_budget(2, 1);
    run_coroutine(proxy.io, [&]() -> asio::awaitable<void> {
        const routing::connection_request needed{.primary = true, .until = boot_clock::now() + 200ms};
        auto first = co_await pool.acquire(needed);
        auto second = co_await pool.acquire(needed);
        BOOST_TEST((first && second));
        first.release();
        second.release();
        co_await sleep_for(5ms);
    });
    proxy.io.restart();
    proxy.server("p").is_primary = false;
    caller_script caller{.events = {opening("fresh"), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.front().ok(), caller.answers.front().error_text());
}

// Guards against a service without the commits of its last moments: the holder of the claim died after the fence, and
// the next promotion did not ask the server that has the whole log. A server that leads or is silent is not asked.
BOOST_AUTO_TEST_CASE(a_fenced_server_is_a_candidate_of_the_next_promotion) {
    proxy_in_memory proxy;
    cluster::traffic_bridge bridge{proxy.io.get_executor(), proxy.host};
    const auto candidates = [&](std::vector<std::string>& out) -> asio::awaitable<void> {
        const auto reports = co_await bridge.query_replicas("stock", "p");
        out.clear();
        std::ranges::transform(reports, std::back_inserter(out), &cluster::replica_report::id);
        std::ranges::sort(out);
    };
    std::vector<std::string> leading;
    std::vector<std::string> fenced;
    std::vector<std::string> silent;
    std::string known{"p"};
    run_coroutine(proxy.io, [&]() -> asio::awaitable<void> {
        auto& pool = proxy.host.pool_for("stock");
        co_await pool.probe("p");
        co_await candidates(leading);
        const auto status = co_await bridge.step_down("stock", "p", 2, 200ms);
        BOOST_TEST((status && !status->is_primary));
        known = pool.primary();
        co_await candidates(fenced);
        pool.note_failure(*pool.entries().at("p"), routing::link_failure::silent);
        co_await candidates(silent);
    });
    BOOST_TEST(known.empty());
    BOOST_TEST((leading == std::vector<std::string>{"r1", "r2"}));
    BOOST_TEST((fenced == std::vector<std::string>{"p", "r1", "r2"}));
    BOOST_TEST((silent == std::vector<std::string>{"r1", "r2"}));
}

// Guards against a setting that is misread as `auto`.
BOOST_AUTO_TEST_CASE(the_setting_is_auto_or_off) {
    session::serve_settings settings;
    const auto findings = [&](const std::string& value) {
        const auto all = session::read_serve_settings("[serve]\nhandover = " + value + "\n", "test.ini", settings);
        return std::ranges::count_if(all, [](const auto& item) { return item.message.starts_with("handover"); });
    };
    BOOST_TEST(findings("off") == 0);
    BOOST_TEST(!settings.planned_handover);
    BOOST_TEST(findings("auto") == 0);
    BOOST_TEST(settings.planned_handover);
    BOOST_TEST(findings("on") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
