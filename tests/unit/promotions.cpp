#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

#include "cornellever/cluster/charts.hpp"
#include "cornellever/cluster/promotion.hpp"
#include "cornellever/core/daemon.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

namespace {

/// What may become of a call.
enum class fate { answered, lost_before, lost_after, late };

/// A call of a proxy that waits for the explorer to decide its fate.
struct pending_call {
    std::string what;
    std::vector<fate> fates;
    /// Carries the call out.
    std::function<void()> apply;
    /// Lets the caller go on, with an answer or without.
    std::function<void(bool answered)> finish;
};

/// An order as the platform carried it out.
struct carried_out {
    std::string holder;
    std::string server;
    std::uint64_t token{0};
};

/// The store, the servers and the platform's orders, shared by two proxies.
/// Calls are carried out one at a time in an order that the explorer chooses.
struct world {
    event_loop io;
    std::deque<pending_call> pending;
    std::vector<std::function<void()>> late;
    std::string row;
    std::uint64_t row_version{0};
    std::uint64_t last_version{0};
    std::uint64_t highest_token{0};
    std::vector<carried_out> orders;
    std::string leader{"old"};
    /// The old primary was judged lost and answers again.
    bool old_is_back{false};
    bool broken{false};
    std::map<std::string, std::uint64_t> refused_with;

    asio::awaitable<bool> decide(std::string what, std::vector<fate> fates, std::function<void()> apply) {
        asio::steady_timer done{io, 1h};
        bool answered = false;
        pending.push_back({std::move(what), std::move(fates), std::move(apply), [&](bool yes) {
                               answered = yes;
                               done.cancel();
                           }});
        boost::system::error_code ignored;
        co_await done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return answered;
    }
};

// Arguments of co_await are named first: g++ 12 destroys a temporary twice
// that was made there by a conversion.

/// The store of one proxy.
struct store_of {
    world& in;

    asio::awaitable<result<cluster::store_rows>> list(std::string) { co_return cluster::store_rows{}; }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t, std::chrono::milliseconds) {
        co_return cluster::store_rows{};
    }
    asio::awaitable<result<std::uint64_t>> write(std::string, std::string, std::string) { co_return 0; }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }

    asio::awaitable<result<cluster::store_row>> read(std::string, std::string key) {
        cluster::store_row out;
        std::vector<fate> fates{fate::answered};
        std::function<void()> apply = [&] {
            out = {.key = key, .value = in.row, .version = in.row_version, .store_time = 1s};
        };
        std::string what{"read"};
        const bool answered = co_await in.decide(std::move(what), std::move(fates), std::move(apply));
        if (!answered) {
            co_return fail(errc::unavailable, "lost");
        }
        co_return out;
    }

    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string value,
                                                    std::uint64_t version) {
        auto done = std::make_shared<std::uint64_t>(0);
        std::vector<fate> fates{fate::answered, fate::lost_before, fate::lost_after, fate::late};
        auto& world_now = in;
        std::function<void()> apply = [&world_now, done, value, version] {
            if (world_now.row_version == version) {
                world_now.row = value;
                world_now.row_version = ++world_now.last_version;
                *done = world_now.row_version;
            }
        };
        std::string what{"write"};
        const bool answered = co_await in.decide(std::move(what), std::move(fates), std::move(apply));
        if (!answered) {
            co_return fail(errc::outcome_unknown, "lost");
        }
        if (*done == 0) {
            co_return fail(errc::conflict, "changed");
        }
        co_return *done;
    }
};

/// The servers as one proxy reaches them.
struct servers_of {
    world& in;
    std::string choice;

    asio::awaitable<std::vector<cluster::replica_report>> survey(std::string, std::string) {
        std::vector<cluster::replica_report> out;
        out.push_back({choice, {1, 10}, false, in.leader == choice});
        co_return out;
    }
    asio::awaitable<bool> leads_now(std::string, std::string id, std::chrono::milliseconds) {
        co_return in.old_is_back&& in.leader == id;
    }
    asio::awaitable<bool> await_lead(std::string, std::string id, std::chrono::milliseconds) {
        bool leads = false;
        std::vector<fate> fates{fate::answered};
        std::function<void()> apply = [&] { leads = in.leader == id; };
        std::string what{"await"};
        (void)co_await in.decide(std::move(what), std::move(fates), std::move(apply));
        co_return leads;
    }
};

/// The platform's orders as one proxy gives them.
struct orders_of {
    world& in;

    asio::awaitable<result<void>> promote(std::string, std::string id, std::string holder, std::uint64_t token) {
        auto refused = std::make_shared<bool>(false);
        auto& now = in;
        // A proxy that was refused may not come again with the same token.
        if (const auto found = now.refused_with.find(holder); found != now.refused_with.end()) {
            now.broken = now.broken || found->second == token;
        }
        std::vector<fate> fates{fate::answered, fate::lost_before, fate::lost_after, fate::late};
        std::function<void()> apply = [&now, refused, id, holder, token] {
            if (token < now.highest_token) {
                *refused = true;
                return;
            }
            now.highest_token = token;
            now.orders.push_back({holder, id, token});
            now.leader = id;
        };
        std::string what{"order"};
        const bool answered = co_await in.decide(std::move(what), std::move(fates), std::move(apply));
        if (!answered) {
            co_return fail(errc::outcome_unknown, "lost");
        }
        if (*refused) {
            now.refused_with[holder] = token;
            co_return fail(errc::fenced, "outdone");
        }
        co_return result<void>{};
    }
};

state_chart steps() {
    return *state_chart::parse(cluster::charts::promotion, "promotion.ini");
}

/// Plays one course of events: `choices` decide in turn which waiting call is
/// next and what becomes of it; choices that are missing are 0 and appended.
/// `widths` gets the number of possibilities at each choice.
bool play(std::vector<std::size_t>& choices, std::vector<std::size_t>& widths) {
    world now;
    store_of store{now};
    servers_of first_servers{now, "r1"};
    servers_of second_servers{now, "r2"};
    orders_of orders{now};
    const auto chart_now = steps();
    cluster::promotion first{store, first_servers, orders, chart_now, "first", "first/1"};
    cluster::promotion second{store, second_servers, orders, chart_now, "second", "second/1"};
    int running = 2;
    const auto ended = [&](const std::exception_ptr&, const cluster::promotion_outcome&) { --running; };
    asio::co_spawn(now.io, first.run("stock", "old", cluster::primary_verdict::lost), ended);
    asio::co_spawn(now.io, second.run("stock", "old", cluster::primary_verdict::lost), ended);
    std::size_t step = 0;
    const auto choose = [&](std::size_t width) {
        if (step == choices.size()) {
            choices.push_back(0);
        }
        widths.push_back(width);
        return choices[step++] % width;
    };
    while (running > 0) {
        now.io.poll();
        now.io.restart();
        if (now.pending.empty()) {
            break;
        }
        // A late call may be carried out at any moment from now on.
        const auto which = choose(now.pending.size() + (now.late.empty() ? 0 : 1));
        if (which == now.pending.size()) {
            now.late.front()();
            now.late.erase(now.late.begin());
            continue;
        }
        auto call = now.pending[which];
        now.pending.erase(now.pending.begin() + static_cast<std::ptrdiff_t>(which));
        const auto what = call.fates[choose(call.fates.size())];
        if (what == fate::answered || what == fate::lost_after) {
            call.apply();
        } else if (what == fate::late) {
            now.late.push_back(call.apply);
        }
        call.finish(what == fate::answered);
    }
    for (auto& apply : now.late) {
        apply();
    }
    now.io.destroy_suspended_coroutines();
    std::map<std::uint64_t, std::pair<std::string, std::string>> by_token;
    for (const auto& item : now.orders) {
        const auto [at, added] = by_token.emplace(item.token, std::pair{item.holder, item.server});
        if (!added && at->second != std::pair{item.holder, item.server}) {
            return false;
        }
    }
    return !now.broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promotions)

BOOST_AUTO_TEST_CASE(the_chart_parses) {
    BOOST_TEST(state_chart::parse(cluster::charts::promotion, "promotion.ini").has_value());
}

// A database has two primaries for a while, or an order given long ago undoes
// a later one. Two proxies replace the same primary at once; their writes and
// orders are answered, lost, or carried out late, in any order. Whatever
// happens, a token belongs to one proxy and one choice, and a proxy that was
// refused does not repeat the refused order.
BOOST_AUTO_TEST_CASE(no_course_of_events_gives_a_token_to_two_choices) {
    constexpr std::size_t most_courses = 30000;
    constexpr std::size_t free_choices = 14;
    std::vector<std::size_t> choices;
    std::size_t courses = 0;
    for (;;) {
        std::vector<std::size_t> widths;
        const bool held = play(choices, widths);
        ++courses;
        if (!held) {
            std::string course;
            for (const auto item : choices) {
                course += std::to_string(item) + " ";
            }
            BOOST_ERROR("broken by the course " + course);
            break;
        }
        // The next course: the last choice that can be another one is.
        choices.resize(std::min(widths.size(), free_choices));
        while (!choices.empty() && choices.back() + 1 >= widths[choices.size() - 1]) {
            choices.pop_back();
        }
        if (choices.empty() || courses == most_courses) {
            break;
        }
        ++choices.back();
    }
    BOOST_TEST_MESSAGE("courses played: " << courses);
    BOOST_TEST(courses > 1000U);
}

BOOST_AUTO_TEST_CASE(the_longest_log_that_stays_is_chosen) {
    using cluster::replica_report;
    const std::vector<replica_report> replicas{
        {"short", {1, 10}, false, false}, {"leaving", {1, 30}, true, false}, {"long", {1, 20}, false, false}};
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::lost)->id == "long");
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::leaving)->id == "long");
    BOOST_TEST(!cluster::choose_successor({}, cluster::primary_verdict::lost));
}

// Writes stop three times within seconds: all servers of a service were
// leaving, and the lead went by plan from one to the next, each time to the one
// that was about to end.
BOOST_AUTO_TEST_CASE(a_leaving_replica_takes_over_from_a_lost_primary_only) {
    const std::vector<cluster::replica_report> replicas{{"leaving", {1, 30}, true, false}};
    BOOST_TEST(cluster::choose_successor(replicas, cluster::primary_verdict::lost)->id == "leaving");
    BOOST_TEST(!cluster::choose_successor(replicas, cluster::primary_verdict::leaving));
}

// Reads miss 96 acknowledged commits. A partition left the new primary with
// most proxies; one on the other side judged it lost, and its claim went through
// as the partition ended, 0.5 s after it had begun. It ordered the old primary
// back, and with it a log that lacked what the new one had acknowledged.
BOOST_AUTO_TEST_CASE(a_primary_that_answers_again_is_not_replaced) {
    for (const bool back : {true, false}) {
        world now;
        now.old_is_back = back;
        store_of store{now};
        servers_of servers{now, "r1"};
        orders_of orders{now};
        const auto chart_now = steps();
        cluster::promotion only{store, servers, orders, chart_now, "first", "first/1"};
        std::optional<cluster::promotion_outcome> outcome;
        asio::co_spawn(now.io, only.run("stock", "old", cluster::primary_verdict::lost),
                       [&](const std::exception_ptr&, cluster::promotion_outcome got) { outcome = std::move(got); });
        while (!outcome) {
            now.io.poll();
            now.io.restart();
            if (!now.pending.empty()) {
                auto call = std::move(now.pending.front());
                now.pending.pop_front();
                call.apply();
                call.finish(true);
            }
        }
        BOOST_TEST(outcome->event == (back ? "leads_still" : "leads"));
        BOOST_TEST(now.orders.size() == (back ? 0U : 1U));
    }
}

// Guards against a promotion of an empty server, which ends all commits, while another may still hold them.
BOOST_AUTO_TEST_CASE(an_empty_server_is_promoted_only_where_none_that_is_silent_may_hold_the_log) {
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

// Guards against an empty server whose lead counts although another one holds the log.
BOOST_AUTO_TEST_CASE(a_server_that_leads_without_a_log_does_not_end_a_promotion) {
    using cluster::replica_report;
    const replica_report empty{.id = "empty", .received = {2, 0}, .leads = true};
    const replica_report before{.id = "before", .received = {1, 30}};
    BOOST_TEST(cluster::lacks_entries_of(empty, std::vector{empty, before}));
    BOOST_TEST(
        !cluster::lacks_entries_of(empty, std::vector{empty, replica_report{.id = "silent", .answered = false}}));
    BOOST_TEST(!cluster::lacks_entries_of(before, std::vector{empty, before}));
}

BOOST_AUTO_TEST_CASE(a_claim_is_read_as_it_was_written) {
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
