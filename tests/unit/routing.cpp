#include <boost/test/unit_test.hpp>

#include <deque>

#include "cornellever/routing/admission.hpp"
#include "cornellever/routing/connection_budget.hpp"
#include "cornellever/routing/placement.hpp"
#include "cornellever/routing/wait_queue.hpp"
#include "cornellever/session/connection_ownership.hpp"
#include "cornellever/session/connection_session_state.hpp"
#include "cornellever/session/planned_stop.hpp"
#include "cornellever/session/serve_settings.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using routing::placement_candidate;

namespace {

placement_candidate candidate(double statement_time_ms, bool same, bool primary = false, std::size_t idle = 1,
                              std::size_t in_flight = 0) {
    return {.same_data_center = same,
            .primary = primary,
            .in_flight = in_flight,
            .idle = idle,
            .statement_time = std::chrono::duration<double, std::milli>{statement_time_ms}};
}

std::vector<session::proxy_node> make_proxies(int count) {
    std::vector<session::proxy_node> out;
    for (int i = 0; i < count; ++i) {
        out.push_back({"proxy-" + std::to_string(i), i % 2 == 0 ? "here" : "there", {}});
    }
    return out;
}

struct queued {
    int priority{0};
    boot_clock::time_point until{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(placing)

BOOST_AUTO_TEST_CASE(the_local_data_center_is_preferred_unless_it_is_slower) {
    const std::vector<placement_candidate> servers{candidate(10, false), candidate(12, true)};
    BOOST_TEST(*routing::place_read(servers, false) == 1U);
    const std::vector<placement_candidate> crowded{candidate(10, false), candidate(40, true)};
    BOOST_TEST(*routing::place_read(crowded, false) == 0U);
}

// Guards against reads that miss their target latency because they are distributed
// evenly although one server is five times slower than the others.
BOOST_AUTO_TEST_CASE(a_slow_server_gets_fewer_reads) {
    const std::vector<placement_candidate> servers{candidate(50, true), candidate(10, false, true)};
    BOOST_TEST(*routing::place_read(servers, false) == 1U);
}

BOOST_AUTO_TEST_CASE(one_connection_to_the_primary_is_reserved_for_writes) {
    const std::vector<placement_candidate> servers{candidate(10, true, true, 1)};
    BOOST_TEST(!routing::place_read(servers, true));
    BOOST_TEST(routing::place_read(servers, false).has_value());
}

BOOST_AUTO_TEST_CASE(a_server_without_an_idle_connection_is_no_candidate) {
    const std::vector<placement_candidate> servers{candidate(1, true, false, 0), candidate(90, false)};
    BOOST_TEST(*routing::place_read(servers, false) == 1U);
}

BOOST_AUTO_TEST_CASE(all_proxies_together_stay_below_the_connection_limit_of_a_server) {
    for (const std::size_t limit : {16U, 22U, 30U, 98U}) {
        constexpr std::size_t once_kept_back = 2;
        for (std::size_t proxies = 1; proxies <= limit - once_kept_back; ++proxies) {
            BOOST_TEST(proxies * routing::connections_per_proxy(limit, proxies) <= limit - once_kept_back);
        }
    }
    BOOST_TEST(routing::connections_per_proxy(16, 100) == 1U);
    BOOST_TEST(routing::connections_per_proxy(0, 3) == 1U);
}

// Guards against proxies that can't reconnect for 3 s after a power failure because
// servers still count the connections of their previous processes.
BOOST_AUTO_TEST_CASE(all_proxies_can_reconnect_beside_the_connections_of_their_dead_processes) {
    for (const std::size_t limit : {16U, 22U, 30U, 40U, 98U}) {
        for (std::size_t proxies = 1; proxies <= limit / 2; ++proxies) {
            BOOST_TEST(2 * proxies * routing::connections_per_proxy(limit, proxies) <= limit);
        }
        const auto many = session::allocate_connections("stock", limit, make_proxies(88));
        BOOST_TEST(2 * many.owners.size() * many.connections_each <= limit);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_would_be_served_too_late_is_refused_at_once) {
    const routing::load_view load{.requests_ahead = 60, .concurrency = 2, .statement_time = 10ms};
    const auto refused = routing::admit(load, {.left = 800ms, .target = 200ms});
    BOOST_TEST(!refused.admitted);
    BOOST_TEST((refused.retry_after >= 100ms));
    const auto admitted = routing::admit(load, {.left = 800ms, .target = 400ms});
    BOOST_TEST(admitted.admitted);
    BOOST_TEST((admitted.wait == 385ms));
    BOOST_TEST(!routing::admit(load, {.left = 15ms, .target = 400ms}).admitted);
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_new_primary_while_it_has_time_to_run) {
    const auto admitted = routing::admit_without_primary({.left = 800ms, .target = 100ms});
    BOOST_TEST(admitted.admitted);
    BOOST_TEST((admitted.wait == 700ms));
    BOOST_TEST(!routing::admit_without_primary({.left = 90ms, .target = 100ms}).admitted);
}

// Guards against overload in which every answer is late. Two of three servers have
// failed, and the third can handle a third of the load. Simulates this in steps of
// a millisecond: a request takes 30 ms on one of 2 connections, 150 arrive in a
// second, the target latency is 200 ms and the timeout 800 ms. With a wait queue
// as long as the timeout allows, requests were started at an age of 750 ms and
// more, and none was answered in time.
BOOST_AUTO_TEST_CASE(under_threefold_overload_admitted_requests_are_answered_in_time) {
    constexpr int statement_ms = 30;
    constexpr int connection_count = 2;
    std::vector<int> free_at(connection_count, 0);
    std::deque<int> queue;
    int within_target = 0;
    int late = 0;
    int refused_early = 0;
    for (int now = 0; now < 3000; ++now) {
        for (auto& connection : free_at) {
            if (connection <= now && !queue.empty()) {
                const int age = now - queue.front() + statement_ms;
                ++(age <= 200 ? within_target : late);
                queue.pop_front();
                connection = now + statement_ms;
            }
        }
        if (now % 7 == 0) {
            const routing::load_view load{
                .requests_ahead = queue.size(), .concurrency = connection_count, .statement_time = 30ms};
            if (routing::admit(load, {.left = 800ms, .target = 200ms}).admitted) {
                queue.push_back(now);
            } else {
                ++refused_early;
            }
        }
    }
    const int could_be_served = 3000 / statement_ms * connection_count;
    BOOST_TEST(within_target + late >= could_be_served - 20);
    BOOST_TEST(within_target >= could_be_served * 8 / 10, within_target << " in time, " << late << " late");
    BOOST_TEST(refused_early > 0);
}

BOOST_AUTO_TEST_CASE(a_request_without_time_to_run_is_not_started) {
    const routing::load_view load{.requests_ahead = 0, .concurrency = 2, .statement_time = 30ms};
    BOOST_TEST(!routing::has_time_to_run(load, 20ms));
    BOOST_TEST(routing::has_time_to_run(load, 50ms));
}

BOOST_AUTO_TEST_CASE(the_wait_queue_is_ordered_by_priority_and_then_by_deadline) {
    const boot_clock::time_point start{};
    queued late{2, start + 9s};
    queued soon{2, start + 1s};
    queued first{1, start + 20s};
    routing::wait_queue<queued> queue;
    queue.enqueue(late);
    queue.enqueue(soon);
    queue.enqueue(first);
    BOOST_TEST(queue.queue_position(1, start + 30s) == 1U);
    BOOST_TEST(queue.queue_position(2, start + 2s) == 2U);
    BOOST_TEST(queue.queue_position(2, start + 30s) == 3U);
    const auto any = [](const queued&) { return true; };
    BOOST_TEST(queue.take_first(any) == &first);
    BOOST_TEST(queue.take_first([&](const queued& item) { return &item == &late; }) == &late);
    BOOST_TEST(queue.take_first(any) == &soon);
    BOOST_TEST(queue.take_first(any) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(session_replay)

BOOST_AUTO_TEST_CASE(values_that_the_connection_already_holds_are_not_sent) {
    session::session_state state{.id = 1, .values = {{"a", "1"}, {"b", "2"}}};
    session::connection_session_state memory;
    BOOST_TEST(session::plan_replay(state, memory, nullptr).size() == 2U);
    BOOST_TEST(session::plan_replay(state, memory, nullptr).empty());
    state.values["b"] = "3";
    BOOST_TEST(session::replay_cost(state, memory) == 1U);
    BOOST_TEST(session::plan_replay(state, memory, nullptr).size() == 1U);
}

BOOST_AUTO_TEST_CASE(values_of_another_session_are_reset_with_its_prepared_statements) {
    session::session_state first{.id = 1, .values = {{"a", "1"}}};
    session::session_state second{.id = 2, .values = {{"b", "1"}}};
    const session::prepared_statement shape{sql::access::read, "q1"};
    session::connection_session_state memory;
    BOOST_TEST(session::plan_replay(first, memory, &shape).size() == 2U);
    const auto plan = session::plan_replay(second, memory, &shape);
    BOOST_TEST_REQUIRE(plan.size() == 3U);
    BOOST_TEST((plan[0].kind == sql::statement_kind::reset));
    BOOST_TEST((plan[2].kind == sql::statement_kind::prepare));
}

// Guards against callers that prepare different statements under the same name and run each other's, and against a
// caller's text in a name at a server.
BOOST_AUTO_TEST_CASE(statements_are_prepared_under_different_names_that_are_not_taken_from_callers) {
    const session::session_state state{.id = 1};
    session::connection_session_state memory;
    std::set<std::string> names;
    for (const auto mode : {sql::access::read, sql::access::write}) {
        for (const auto* shape : {"q1", "q1 WRITE q2", " q1", "q1 "}) {
            const session::prepared_statement needed{mode, shape};
            const auto plan = session::plan_replay(state, memory, &needed);
            BOOST_TEST_REQUIRE(plan.size() == 1U);
            BOOST_TEST(plan[0].text == shape);
            BOOST_TEST(plan[0].name == memory.prepared.at(needed));
            BOOST_TEST(plan[0].name.size() == 1U);
            BOOST_TEST(names.insert(plan[0].name).second);
            BOOST_TEST(session::plan_replay(state, memory, &needed).empty());
        }
    }
}

// Guards against statements that accumulate at a server, and against a name that a reset gives to another statement: if
// the new PREPARE were refused, an EXECUTE behind it would run the earlier statement.
BOOST_AUTO_TEST_CASE(a_connection_is_reset_when_too_much_is_prepared_on_it) {
    const session::session_state state{.id = 1};
    session::connection_session_state memory;
    std::set<std::string> names;
    std::size_t resets = 0;
    std::size_t most = 0;
    for (int i = 0; i < 2000; ++i) {
        const session::prepared_statement needed{sql::access::read, "q" + std::to_string(i)};
        const auto plan = session::plan_replay(state, memory, &needed);
        resets += plan.front().kind == sql::statement_kind::reset ? 1 : 0;
        BOOST_TEST(names.insert(plan.back().name).second);
        most = std::max(most, memory.prepared.size());
    }
    BOOST_TEST(resets > 0U);
    BOOST_TEST(most <= 256U);
    const session::prepared_statement large{sql::access::read, std::string(900'000, 'x')};
    const session::prepared_statement other{sql::access::read, std::string(900'000, 'y')};
    BOOST_TEST((session::plan_replay(state, memory, &large).front().kind == sql::statement_kind::prepare));
    BOOST_TEST((session::plan_replay(state, memory, &other).front().kind == sql::statement_kind::reset));
    BOOST_TEST(memory.prepared.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(planned_stops)

BOOST_AUTO_TEST_CASE(sessions_are_closed_after_the_load_balancer_has_noticed_the_stop) {
    const boot_clock::time_point begun{1h};
    const session::planned_stop stop{begun, 6s};
    BOOST_TEST(!stop.at(begun + 2s, 5).close_after_answer);
    BOOST_TEST(stop.at(begun + 2300ms, 5).close_after_answer);
    BOOST_TEST(!stop.at(begun + 2400ms, 5).close_idle_sessions);
    BOOST_TEST(stop.at(begun + 2600ms, 5).close_idle_sessions);
    BOOST_TEST(!stop.at(begun + 3500ms, 5).close_idle_in_transaction);
    BOOST_TEST(stop.at(begun + 3700ms, 5).close_idle_in_transaction);
    BOOST_TEST(!stop.at(begun + 2200ms, 0).exit);
    BOOST_TEST(stop.at(begun + 2400ms, 0).exit);
    BOOST_TEST(!stop.at(begun + 2900ms, 5).abort_transactions);
    BOOST_TEST(stop.at(begun + 3s, 5).abort_transactions);
    BOOST_TEST(!stop.at(begun + 5s, 5).exit);
    BOOST_TEST(stop.at(begun + 5200ms, 5).exit);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings_of_serve)

BOOST_AUTO_TEST_CASE(each_settings_error_is_reported_with_its_line) {
    session::serve_settings out;
    const auto findings = session::read_serve_settings("[serve]\nname = a\ncallers = nowhere\nname = b\n"
                                                       "colour = red\ngrace_s = 0\n[other]\nname = c\n",
                                                       "x.ini", out);
    std::string all;
    for (const auto& item : findings) {
        all += ini::to_string(item) + "\n";
    }
    for (const auto* expected : {"x.ini:3: callers must be IP:PORT", "x.ini:4: name is set twice", "x.ini:5: unknown",
                                 "x.ini:6: grace_s must be", "x.ini:8: unknown", "store is missing"}) {
        BOOST_TEST(all.find(expected) != std::string::npos, expected << " not in " << all);
    }
}

BOOST_AUTO_TEST_SUITE_END()
