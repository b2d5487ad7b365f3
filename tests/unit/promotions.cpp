#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

#include "cornellever/cluster/charts.hpp"
#include "cornellever/cluster/promotion.hpp"
#include "cornellever/core/daemon.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

namespace {

/// What may happen to a call.
enum class call_result { answered, lost_before, lost_after, late };

/// A proxy's call that is pending until the explorer decides its outcome.
struct pending_call {
    std::string what;
    std::vector<call_result> possible_results;
    /// Executes the call.
    std::function<void()> apply;
    /// Resumes the caller, with a reply or without.
    std::function<void(bool answered)> finish;
};

/// A promotion order executed by the platform.
struct executed_order {
    std::string holder;
    std::string server;
    std::uint64_t token{0};
};

/// The store, the servers and the platform, shared by two proxies. Calls are executed one at a time
/// in an order chosen by the explorer.
struct simulation {
    event_loop io;
    std::deque<pending_call> pending;
    std::vector<std::function<void()>> late;
    std::string row;
    std::uint64_t row_version{0};
    std::uint64_t last_version{0};
    std::uint64_t highest_token{0};
    std::vector<executed_order> orders;
    std::string leader{"old"};
    /// The old primary was judged lost but answers again.
    bool old_answers_again{false};
    bool violated{false};
    std::map<std::string, std::uint64_t> refused_with;

    asio::awaitable<bool> decide(std::string what, std::vector<call_result> possible_results,
                                 std::function<void()> apply) {
        asio::steady_timer done{io, 1h};
        bool answered = false;
        pending.push_back({std::move(what), std::move(possible_results), std::move(apply), [&](bool yes) {
                               answered = yes;
                               done.cancel();
                           }});
        boost::system::error_code ignored;
        co_await done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return answered;
    }

    /// Carries out the pending calls in their order, all of them answered, until `ended` returns true.
    void play_until(const std::function<bool()>& ended) {
        while (!ended()) {
            io.poll();
            io.restart();
            if (!pending.empty()) {
                auto call = std::move(pending.front());
                pending.pop_front();
                call.apply();
                call.finish(true);
            }
        }
    }
};

// Arguments of co_await are named first: g++ 12 destroys a temporary twice that was made there by a
// conversion.

/// The store as seen by one proxy.
struct simulated_store {
    simulation& in;

    asio::awaitable<result<cluster::store_rows>> list(std::string) { co_return cluster::store_rows{}; }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t, std::chrono::milliseconds) {
        co_return cluster::store_rows{};
    }
    asio::awaitable<result<std::uint64_t>> write(std::string, std::string, std::string) { co_return 0; }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }

    asio::awaitable<result<cluster::store_row>> read(std::string, std::string key) {
        cluster::store_row out;
        std::vector<call_result> possible_results{call_result::answered};
        std::function<void()> apply = [&] {
            out = {.key = key, .value = in.row, .version = in.row_version, .store_time = 1s};
        };
        std::string what{"read"};
        const bool answered = co_await in.decide(std::move(what), std::move(possible_results), std::move(apply));
        if (!answered) {
            co_return fail(errc::unavailable, "lost");
        }
        co_return out;
    }

    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string value,
                                                    std::uint64_t version) {
        auto done = std::make_shared<std::uint64_t>(0);
        std::vector<call_result> possible_results{call_result::answered, call_result::lost_before,
                                                  call_result::lost_after, call_result::late};
        auto& sim = in;
        std::function<void()> apply = [&sim, done, value, version] {
            if (sim.row_version == version) {
                sim.row = value;
                sim.row_version = ++sim.last_version;
                *done = sim.row_version;
            }
        };
        std::string what{"write"};
        const bool answered = co_await in.decide(std::move(what), std::move(possible_results), std::move(apply));
        if (!answered) {
            co_return fail(errc::outcome_unknown, "lost");
        }
        if (*done == 0) {
            co_return fail(errc::conflict, "changed");
        }
        co_return *done;
    }
};

/// The servers as seen by one proxy.
struct simulated_servers {
    simulation& in;
    std::string choice;

    asio::awaitable<std::vector<cluster::replica_report>> query_replicas(std::string, std::string) {
        std::vector<cluster::replica_report> out;
        out.push_back({choice, {1, 10}, false, in.leader == choice});
        co_return out;
    }
    asio::awaitable<bool> is_primary_now(std::string, std::string id, std::chrono::milliseconds) {
        co_return in.old_answers_again&& in.leader == id;
    }
    asio::awaitable<bool> await_leadership(std::string, std::string id, std::chrono::milliseconds) {
        bool confirmed = false;
        std::vector<call_result> possible_results{call_result::answered};
        std::function<void()> apply = [&] { confirmed = in.leader == id; };
        std::string what{"await"};
        (void)co_await in.decide(std::move(what), std::move(possible_results), std::move(apply));
        co_return confirmed;
    }
};

/// The platform's promotion interface as seen by one proxy.
struct simulated_platform {
    simulation& in;

    asio::awaitable<result<void>> promote(std::string, std::string id, std::string holder, std::uint64_t token) {
        auto refused = std::make_shared<bool>(false);
        auto& state = in;
        // A proxy whose order was refused must not order again with the same token.
        if (const auto found = state.refused_with.find(holder); found != state.refused_with.end()) {
            state.violated = state.violated || found->second == token;
        }
        std::vector<call_result> possible_results{call_result::answered, call_result::lost_before,
                                                  call_result::lost_after, call_result::late};
        std::function<void()> apply = [&state, refused, id, holder, token] {
            if (token < state.highest_token) {
                *refused = true;
                return;
            }
            state.highest_token = token;
            state.orders.push_back({holder, id, token});
            state.leader = id;
        };
        std::string what{"order"};
        const bool answered = co_await in.decide(std::move(what), std::move(possible_results), std::move(apply));
        if (!answered) {
            co_return fail(errc::outcome_unknown, "lost");
        }
        if (*refused) {
            state.refused_with[holder] = token;
            co_return fail(errc::fenced, "outdone");
        }
        co_return result<void>{};
    }
};

state_chart steps() {
    return *state_chart::parse(cluster::charts::promotion, "promotion.ini");
}

/// Runs one schedule: `choices` decide in order which pending call is next and what happens to it;
/// missing choices are 0 and are appended. `widths` receives the number of possibilities at each
/// choice.
bool run_schedule(std::vector<std::size_t>& choices, std::vector<std::size_t>& widths) {
    simulation state;
    simulated_store store{state};
    simulated_servers first_servers{state, "r1"};
    simulated_servers second_servers{state, "r2"};
    simulated_platform orders{state};
    const auto promotion_chart = steps();
    cluster::promotion first{store, first_servers, orders, promotion_chart, "first", "first/1"};
    cluster::promotion second{store, second_servers, orders, promotion_chart, "second", "second/1"};
    int running = 2;
    const auto ended = [&](const std::exception_ptr&, const cluster::promotion_outcome&) { --running; };
    asio::co_spawn(state.io, first.run("stock", "old", cluster::primary_verdict::lost), ended);
    asio::co_spawn(state.io, second.run("stock", "old", cluster::primary_verdict::lost), ended);
    std::size_t step = 0;
    const auto choose = [&](std::size_t width) {
        if (step == choices.size()) {
            choices.push_back(0);
        }
        widths.push_back(width);
        return choices[step++] % width;
    };
    while (running > 0) {
        state.io.poll();
        state.io.restart();
        if (state.pending.empty()) {
            break;
        }
        // From now on, a delayed call may be executed at any step.
        const auto which = choose(state.pending.size() + (state.late.empty() ? 0 : 1));
        if (which == state.pending.size()) {
            state.late.front()();
            state.late.erase(state.late.begin());
            continue;
        }
        auto call = state.pending[which];
        state.pending.erase(state.pending.begin() + static_cast<std::ptrdiff_t>(which));
        const auto what = call.possible_results[choose(call.possible_results.size())];
        if (what == call_result::answered || what == call_result::lost_after) {
            call.apply();
        } else if (what == call_result::late) {
            state.late.push_back(call.apply);
        }
        call.finish(what == call_result::answered);
    }
    for (auto& apply : state.late) {
        apply();
    }
    state.io.destroy_suspended_coroutines();
    std::map<std::uint64_t, std::pair<std::string, std::string>> by_token;
    for (const auto& item : state.orders) {
        const auto [at, added] = by_token.emplace(item.token, std::pair{item.holder, item.server});
        if (!added && at->second != std::pair{item.holder, item.server}) {
            return false;
        }
    }
    return !state.violated;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promotions)

BOOST_AUTO_TEST_CASE(the_promotion_chart_is_valid) {
    BOOST_TEST(state_chart::parse(cluster::charts::promotion, "promotion.ini").has_value());
}

// Guards against two primaries at the same time, and against a delayed order that undoes a later
// one. Two proxies replace the same primary concurrently; their writes and orders are answered,
// lost, or executed late, in any order. In every schedule, a token belongs to one proxy and one
// successor, and a proxy that was refused does not repeat the refused order.
BOOST_AUTO_TEST_CASE(no_schedule_gives_a_token_to_two_successors) {
    constexpr std::size_t max_schedules = 30000;
    constexpr std::size_t free_choices = 14;
    std::vector<std::size_t> choices;
    std::size_t schedules = 0;
    for (;;) {
        std::vector<std::size_t> widths;
        const bool held = run_schedule(choices, widths);
        ++schedules;
        if (!held) {
            std::string choice_list;
            for (const auto item : choices) {
                choice_list += std::to_string(item) + " ";
            }
            BOOST_ERROR("broken by the schedule " + choice_list);
            break;
        }
        // The next schedule: advances the last choice that has another possibility.
        choices.resize(std::min(widths.size(), free_choices));
        while (!choices.empty() && choices.back() + 1 >= widths[choices.size() - 1]) {
            choices.pop_back();
        }
        if (choices.empty() || schedules == max_schedules) {
            break;
        }
        ++choices.back();
    }
    BOOST_TEST_MESSAGE("schedules played: " << schedules);
    BOOST_TEST(schedules > 1000U);
}

BOOST_AUTO_TEST_CASE(the_longest_log_that_is_not_draining_is_chosen) {
    using cluster::replica_report;
    const std::vector<replica_report> replicas{
        {"short", {1, 10}, false, false}, {"leaving", {1, 30}, true, false}, {"long", {1, 20}, false, false}};
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::lost)->id == "long");
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::leaving)->id == "long");
    BOOST_TEST(!cluster::choose_successor({}, cluster::primary_verdict::lost));
}

// Guards against repeated write outages: while all servers of a service are draining, planned
// handovers passed leadership from one to the next, each time to a server about to stop.
BOOST_AUTO_TEST_CASE(a_draining_replica_replaces_only_a_lost_primary) {
    const std::vector<cluster::replica_report> replicas{{"leaving", {1, 30}, true, false}};
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::lost)->id == "leaving");
    BOOST_TEST(!cluster::choose_successor(replicas, cluster::primary_verdict::leaving));
}

// Guards against reads that miss acknowledged commits (96 of them): after a network
// partition that left the new primary with most proxies, a proxy on the other side judged it lost.
// Its claim went through as the partition ended, 0.5 s after it had begun, and it promoted the old
// primary, whose log lacked what the new one had acknowledged.
BOOST_AUTO_TEST_CASE(a_primary_that_answers_again_is_not_replaced) {
    for (const bool back : {true, false}) {
        simulation state;
        state.old_answers_again = back;
        simulated_store store{state};
        simulated_servers servers{state, "r1"};
        simulated_platform orders{state};
        const auto promotion_chart = steps();
        cluster::promotion only{store, servers, orders, promotion_chart, "first", "first/1"};
        std::optional<cluster::promotion_outcome> outcome;
        asio::co_spawn(state.io, only.run("stock", "old", cluster::primary_verdict::lost),
                       [&](const std::exception_ptr&, cluster::promotion_outcome got) { outcome = std::move(got); });
        state.play_until([&] { return outcome.has_value(); });
        BOOST_TEST(outcome->event == (back ? "leads_still" : "leads"));
        BOOST_TEST(state.orders.size() == (back ? 0U : 1U));
    }
}

// Guards against promoting an empty server, which discards all commits, while another server may
// still hold them.
BOOST_AUTO_TEST_CASE(an_empty_server_is_promoted_only_if_no_silent_server_may_hold_the_log) {
    using cluster::replica_report;
    const replica_report empty{.id = "empty", .received = {2, 0}};
    const replica_report silent{.id = "silent", .answered = false};
    const replica_report full{.id = "full", .received = {1, 30}};
    const auto may_hold = [](std::vector<replica_report> of) { return cluster::may_hold_only_log(of); };
    BOOST_TEST(may_hold({empty, silent}));
    BOOST_TEST(!may_hold({empty, empty}));
    BOOST_TEST(!may_hold({full, silent}));
    const std::vector<replica_report> replicas{silent, empty};
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::lost)->id == "empty");
    BOOST_TEST(!cluster::choose_successor(std::vector{silent}, cluster::primary_verdict::lost));
}

namespace {

/// The replicas of a service, which report what a test sets.
struct fixed_replicas {
    std::vector<cluster::replica_report> reports;

    asio::awaitable<std::vector<cluster::replica_report>> query_replicas(std::string, std::string) {
        co_return reports;
    }
    asio::awaitable<bool> is_primary_now(std::string, std::string, std::chrono::milliseconds) { co_return false; }
    asio::awaitable<bool> await_leadership(std::string, std::string, std::chrono::milliseconds) { co_return true; }
};

} // namespace

// Guards against a promotion that rolls back every commit of a service because the only server that holds them could
// not be reached for a while.
BOOST_AUTO_TEST_CASE(an_empty_server_is_not_promoted_while_a_registered_server_is_silent) {
    simulation state;
    simulated_store store{state};
    simulated_platform orders{state};
    fixed_replicas replicas{{{.id = "empty", .received = {2, 0}}, {.id = "silent", .answered = false}}};
    const auto promotion_chart = steps();
    cluster::promotion waiting{store, replicas, orders, promotion_chart, "first", "first/1"};
    std::optional<cluster::promotion_outcome> outcome;
    asio::co_spawn(state.io, waiting.run("stock", "old", cluster::primary_verdict::lost),
                   [&](const std::exception_ptr&, cluster::promotion_outcome ended) { outcome = std::move(ended); });
    state.io.poll();
    state.io.destroy_suspended_coroutines();
    BOOST_TEST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->event == "none_answered");
}

namespace {

/// How one promotion of a service ends whose commits are acknowledged after one replica has received them.
cluster::promotion_outcome promote_with_synchronous_replica(std::vector<cluster::replica_report> reports,
                                                            cluster::primary_verdict why) {
    simulation state;
    simulated_store store{state};
    simulated_platform orders{state};
    fixed_replicas replicas{std::move(reports)};
    const auto promotion_chart = steps();
    cluster::promotion only{store, replicas, orders, promotion_chart, "first", "first/1"};
    std::optional<cluster::promotion_outcome> outcome;
    asio::co_spawn(state.io, only.run("stock", "old", why, 1),
                   [&](const std::exception_ptr&, cluster::promotion_outcome ended) { outcome = std::move(ended); });
    state.play_until([&] { return outcome.has_value(); });
    return *outcome;
}

} // namespace

// Guards against the loss of acknowledged commits that only a draining, a silent or a removed replica has received.
BOOST_AUTO_TEST_CASE(a_synchronous_replica_is_promoted_only_if_its_log_is_proven_complete) {
    using cluster::replica_report;
    struct example {
        std::vector<replica_report> reports;
        cluster::primary_verdict why;
        std::string event;
        std::string successor;
    };
    const replica_report behind{.id = "behind", .received = {1, 10}, .is_replica = true};
    const replica_report level{.id = "level", .received = {1, 30}, .is_replica = true};
    const replica_report draining{.id = "draining", .received = {1, 30}, .draining = true, .is_replica = true};
    const replica_report silent{.id = "silent", .answered = false};
    const replica_report busy{.id = "busy", .received = {1, 9}};
    const replica_report removed{.id = "removed", .received = {1, 20}, .answered = false, .registered = false};
    const replica_report fenced{.id = "old", .received = {1, 30}, .draining = true, .is_replica = true};
    constexpr auto lost = cluster::primary_verdict::lost;
    constexpr auto leaving = cluster::primary_verdict::leaving;
    const std::vector<example> examples{
        {{behind, draining}, lost, "leads", "draining"},
        {{level, draining}, lost, "leads", "level"},
        {{draining, level}, lost, "leads", "level"},
        {{behind, silent}, lost, "commits_unproven", "behind"},
        {{level, busy}, lost, "commits_unproven", "level"},
        {{behind, removed}, lost, "commits_unproven", "behind"},
        {{level, removed}, lost, "leads", "level"},
        {{behind, fenced}, lost, "leads", "old"},
        {{level, silent, fenced}, lost, "commits_unproven", "level"},
        {{level, draining}, leaving, "commits_unproven", "level"},
        {{behind, fenced}, leaving, "leads", "old"},
        {{level, fenced}, leaving, "leads", "level"},
        {{level, silent, fenced}, leaving, "commits_unproven", "level"},
    };
    for (const auto& item : examples) {
        const auto outcome = promote_with_synchronous_replica(item.reports, item.why);
        BOOST_TEST(outcome.event == item.event);
        BOOST_TEST(outcome.successor == item.successor);
    }
}

// Guards against accepting an empty server as the primary although another one holds the log.
BOOST_AUTO_TEST_CASE(a_primary_without_a_log_does_not_end_a_promotion) {
    using cluster::replica_report;
    const replica_report empty{.id = "empty", .received = {2, 0}, .is_primary = true};
    const replica_report before{.id = "before", .received = {1, 30}};
    BOOST_TEST(cluster::lacks_entries_of(empty, std::vector{empty, before}));
    BOOST_TEST(
        !cluster::lacks_entries_of(empty, std::vector{empty, replica_report{.id = "silent", .answered = false}}));
    BOOST_TEST(!cluster::lacks_entries_of(before, std::vector{empty, before}));
}

BOOST_AUTO_TEST_CASE(a_claim_round_trips) {
    const cluster::promotion_claim claim{"a/1", "", "r1", 7, 1234ms};
    const auto back = cluster::decode_claim(cluster::encode(claim));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(back->holder == "a/1");
    BOOST_TEST(back->replaces.empty());
    BOOST_TEST(back->number == 7U);
    BOOST_TEST((back->at == 1234ms));
    BOOST_TEST(!cluster::decode_claim(""));
    BOOST_TEST(!cluster::decode_claim("a b"));
}

BOOST_AUTO_TEST_SUITE_END()
