#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <random>

#include "cornellever/core/daemon.hpp"
#include "cornellever/limits/coordinators.hpp"
#include "cornellever/limits/limiter.hpp"
#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::limits;
using namespace std::chrono_literals;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};
constexpr limit_bound bound{.window = 5000ms, .overage = 0.1, .slack = 20.0};

accounts::gate gate_of(const accounts::rate_limit& limit) {
    accounts::directory all;
    all.add({.name = "yard", .limit = limit});
    accounts::gate out;
    out.take(all);
    return out;
}

std::vector<std::string> names(std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back("proxy-" + std::to_string(i));
    }
    return out;
}

/// The most grants in any window of the bound's length.
std::size_t most_in_a_window(const std::vector<boot_clock::time_point>& at) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < at.size(); ++last) {
        while (at[last] - at[first] > bound.window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Proxies that coordinate accounts and are asked directly, on a clock of the
/// test's own.
struct fleet {
    fleet(std::size_t count, const accounts::rate_limit& limit, bool first_start = true)
        : gate{gate_of(limit)}
        , known{names(count)} {
        for (const auto& name : known) {
            desks.emplace(name, grant_desk{name, bound, first_start});
            desks.at(name).set_proxies(known, start);
        }
    }

    /// One operation by whoever asks in turn; whether any coordinator granted it.
    bool admit(boot_clock::time_point now, std::size_t turn) {
        auto order = desks.at(known.front()).coordinators("yard", *gate.accounts().find("yard")->limit);
        std::ranges::rotate(order, order.begin() + static_cast<std::ptrdiff_t>(turn % order.size()));
        for (const auto& name : order) {
            if (!unreachable.contains(name) &&
                desks.at(name).ask("yard", gate, now).outcome == grant_outcome::granted) {
                return true;
            }
        }
        return false;
    }

    void restart(const std::string& name, boot_clock::time_point now) {
        desks.insert_or_assign(name, grant_desk{name, bound});
        desks.at(name).set_proxies(known, now);
    }

    accounts::gate gate;
    std::vector<std::string> known;
    std::map<std::string, grant_desk, std::less<>> desks;
    std::set<std::string, std::less<>> unreachable;
};

/// Answers for other proxies as their desks do; none for those that are away.
struct fake_grants {
    std::map<std::uint16_t, std::deque<grant_answer>> answers;
    std::vector<std::uint16_t> asked;

    asio::awaitable<std::optional<grant_answer>> ask(asio::ip::udp::endpoint to, std::string,
                                                     boot_clock::time_point until) {
        asked.push_back(to.port());
        auto& left = answers[to.port()];
        if (left.empty()) {
            co_await sleep_for(std::chrono::milliseconds{to_ms(until - boot_clock::now())});
            co_return std::nullopt;
        }
        const auto out = left.front();
        left.pop_front();
        co_return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(limits_of_accounts)

BOOST_AUTO_TEST_CASE(shares_of_all_coordinators_are_the_limit_and_no_more) {
    for (const auto& limit : {accounts::rate_limit{2, 2}, accounts::rate_limit{35, 35}, accounts::rate_limit{191, 191},
                              accounts::rate_limit{0.2, 1}, accounts::rate_limit{5000, 100}}) {
        for (const std::size_t proxies : {1U, 3U, 7U, 84U, 3500U}) {
            const auto number = coordinators_of(limit, bound, proxies);
            const auto share = share_of(limit, bound, number);
            const auto all = static_cast<double>(number);
            const double seconds = std::chrono::duration<double>(bound.window).count();
            // All of them start twice in the window, and are full before.
            const double most = all * (share.per_second * seconds + share.capacity + 2 * share.at_start);
            BOOST_TEST(most <= bound.most(limit) + 1e-6);
            BOOST_TEST(number <= proxies);
            BOOST_TEST(share.capacity >= 1.0);
        }
    }
}

BOOST_AUTO_TEST_CASE(all_proxies_choose_the_same_coordinators_and_one_more_moves_few) {
    const auto before = names(84);
    auto after = before;
    after.push_back("proxy-new");
    std::size_t moved = 0;
    for (int i = 0; i < 200; ++i) {
        const auto account = "account-" + std::to_string(i);
        const auto chosen = choose_coordinators(account, 8, before);
        BOOST_TEST(chosen.size() == 8U);
        for (const auto place : choose_coordinators(account, 8, after)) {
            moved += after[place] == "proxy-new" ? 1U : 0U;
        }
    }
    BOOST_TEST(moved > 0U);
    BOOST_TEST(moved < 60U);
}

// An account sends eight times what it may, through all proxies, while some are
// cut off, killed and started again, and the limit is changed. Whatever comes,
// no window holds more than the bound.
BOOST_AUTO_TEST_CASE(no_window_goes_over_the_bound_whatever_comes) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random{seed};
        const double rate = std::uniform_real_distribution{1.0, 120.0}(random);
        const accounts::rate_limit limit{rate, rate};
        fleet all{84, limit, seed % 2 == 0};
        const auto coordinators = all.desks.at("proxy-0").coordinators("yard", limit);
        std::vector<boot_clock::time_point> granted;
        const auto gap =
            std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{1 / (8 * rate)});
        auto last_power_cut = start - 10s;
        std::size_t turn = 0;
        for (auto now = start; now < start + 20s; now += gap) {
            if (all.admit(now, turn++)) {
                granted.push_back(now);
            }
            const auto& one = coordinators[random() % coordinators.size()];
            if (random() % 400 == 0) {
                all.unreachable.insert(one);
            } else if (random() % 400 == 0) {
                all.unreachable.erase(one);
            }
            // All lose power at once, no more than twice in a window.
            if (now - last_power_cut > 3s && random() % 500 == 0) {
                last_power_cut = now;
                for (const auto& name : coordinators) {
                    all.restart(name, now);
                }
            }
        }
        BOOST_TEST(static_cast<double>(most_in_a_window(granted)) <= bound.most(limit), "seed " << seed);
    }
}

// An account sends 0.63 of its limit, one operation at a time and at random. A
// refusal would be of something it may do.
BOOST_AUTO_TEST_CASE(an_account_below_its_limit_is_served_on_a_calm_day) {
    for (const double rate : {2.0, 22.0, 191.0}) {
        fleet all{84, {rate, rate}};
        std::mt19937_64 random{7};
        std::exponential_distribution<double> gap{rate / 1.6};
        std::size_t asked = 0;
        std::size_t refused = 0;
        for (auto now = start; now < start + 600s;
             now += std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{gap(random)})) {
            refused += all.admit(now, asked++) ? 0U : 1U;
        }
        BOOST_TEST(refused * 10'000 <= asked, "rate " << rate << ": " << refused << " of " << asked);
    }
}

// As above, while a third of the proxies are cut off for good.
BOOST_AUTO_TEST_CASE(an_account_below_its_limit_is_served_without_two_of_its_coordinators) {
    fleet all{84, {22.0, 22.0}};
    const auto coordinators = all.desks.at("proxy-0").coordinators("yard", {22.0, 22.0});
    all.unreachable = {coordinators[0], coordinators[1]};
    std::mt19937_64 random{7};
    std::exponential_distribution<double> gap{22.0 / 1.6};
    std::size_t asked = 0;
    std::size_t refused = 0;
    for (auto now = start; now < start + 600s;
         now += std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{gap(random)})) {
        refused += all.admit(now, asked++) ? 0U : 1U;
    }
    BOOST_TEST(refused * 1000 <= asked, refused << " of " << asked);
}

// A proxy takes the place of one that others lost sight of. That one may be well
// and granting for those that reach it: both at once would be over the limit.
BOOST_AUTO_TEST_CASE(a_proxy_that_takes_anothers_place_waits_first) {
    const accounts::rate_limit limit{100, 100};
    const auto gate = gate_of(limit);
    auto all = names(20);
    const auto before = choose_coordinators("yard", 8, all);
    const auto leaver = all[before[0]];
    auto rest = all;
    std::erase(rest, leaver);
    std::string joiner;
    for (const auto place : choose_coordinators("yard", 8, rest)) {
        const auto& name = rest[place];
        if (std::ranges::none_of(before, [&](auto at) { return all[at] == name; })) {
            joiner = name;
        }
    }
    BOOST_TEST_REQUIRE(!joiner.empty());
    grant_desk desk{joiner, bound, true};
    desk.set_proxies(all, start);
    BOOST_TEST((desk.ask("yard", gate, start).outcome == grant_outcome::not_mine));
    desk.set_proxies(rest, start + 10s);
    BOOST_TEST((desk.ask("yard", gate, start + 11s).outcome == grant_outcome::used_up));
    BOOST_TEST((desk.ask("yard", gate, start + 10s + grant_desk::takeover + 1s).outcome == grant_outcome::granted));
}

// A proxy starts while the store turns it away, and knows two others by their
// heartbeats. It took itself for a coordinator of each account, beside those that
// all the others know.
BOOST_AUTO_TEST_CASE(a_proxy_that_does_not_know_all_others_grants_nothing) {
    const auto gate = gate_of({100, 100});
    grant_desk desk{"proxy-0", bound, true};
    desk.set_proxies(names(3), start, false);
    BOOST_TEST((desk.ask("yard", gate, start + 1s).outcome == grant_outcome::not_mine));
    const auto all = names(84);
    grant_desk coordinator{all[choose_coordinators("yard", 8, all).front()], bound, true};
    coordinator.set_proxies(names(3), start, false);
    coordinator.set_proxies(all, start + 2s);
    BOOST_TEST((coordinator.ask("yard", gate, start + 2s).outcome == grant_outcome::granted));
}

// An operator lowers a limit far below what is sent: what was saved up under the
// one before must not be granted on.
BOOST_AUTO_TEST_CASE(a_lowered_limit_holds_at_once) {
    grant_desk desk{"a", bound, true};
    desk.set_proxies({"a"}, start);
    const auto high = gate_of({1000, 1000});
    const auto low = gate_of({1, 1});
    BOOST_TEST((desk.ask("yard", high, start).outcome == grant_outcome::granted));
    std::vector<boot_clock::time_point> granted;
    for (auto now = start + 1ms; now < start + 5s; now += 2ms) {
        if (desk.ask("yard", low, now).outcome == grant_outcome::granted) {
            granted.push_back(now);
        }
    }
    BOOST_TEST(static_cast<double>(granted.size()) <= bound.most({1, 1}));
    BOOST_TEST(!granted.empty());
}

BOOST_AUTO_TEST_CASE(a_coordinator_without_a_lease_grants_nothing) {
    accounts::gate gate{accounts::configuration_lease{2000ms}};
    accounts::directory all;
    all.add({.name = "yard", .limit = accounts::rate_limit{10, 10}});
    gate.take(all);
    grant_desk desk{"a", bound, true};
    desk.set_proxies({"a"}, start);
    BOOST_TEST((desk.ask("yard", gate, start).outcome == grant_outcome::not_mine));
    gate.prove(start);
    BOOST_TEST((desk.ask("yard", gate, start).outcome == grant_outcome::granted));
    BOOST_TEST((desk.ask("nobody", gate, start).outcome == grant_outcome::not_mine));
}

// Nine in ten of the callers who come back when they were told are served.
BOOST_AUTO_TEST_CASE(the_time_to_come_back_is_true) {
    const accounts::rate_limit limit{20, 20};
    fleet all{8, limit};
    std::mt19937_64 random{11};
    std::size_t told = 0;
    std::size_t served = 0;
    std::size_t turn = 0;
    for (auto now = start; now < start + 30s; now += 40ms) {
        if (all.admit(now, turn++)) {
            continue;
        }
        auto wait = 5000ms;
        for (auto& [name, desk] : all.desks) {
            const auto answer = desk.ask("yard", all.gate, now);
            wait = std::min(wait, answer.wait);
        }
        ++told;
        served += all.admit(now + wait, turn) ? 1U : 0U;
    }
    BOOST_TEST(served * 10 >= told * 9, served << " of " << told);
}

BOOST_AUTO_TEST_CASE(messages_read_as_they_were_written) {
    const auto question = decode_question(encode(grant_question{77, "yard"})).value();
    BOOST_TEST(question.nonce == 77U);
    BOOST_TEST(question.account == "yard");
    const auto answer = decode_answer(encode(grant_answer{78, grant_outcome::used_up, 120ms})).value();
    BOOST_TEST(answer.nonce == 78U);
    BOOST_TEST((answer.outcome == grant_outcome::used_up));
    BOOST_TEST((answer.wait == 120ms));
}

BOOST_AUTO_TEST_CASE(what_is_no_message_is_dropped) {
    for (const auto* odd :
         {"", "lq1", "lq1 ", "lq1 x yard", "lq1 7", "lq1 7 ", "lq1 7 two words", "lq2 7 yard", "la1 7 0", "la1 7 9 0",
          "la1 7 0 -1", "la1 7 0 99999999999999999999", "la1  0 0", "cl3 q 1 2"}) {
        BOOST_TEST(!decode_question(odd).has_value(), odd);
        BOOST_TEST(!decode_answer(odd).has_value(), odd);
    }
    std::mt19937_64 random{3};
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes{i % 2 == 0 ? "lq1 " : "la1 "};
        for (auto left = random() % 20; left > 0; --left) {
            bytes.push_back(static_cast<char>(random() % 256));
        }
        (void)decode_question(bytes);
        (void)decode_answer(bytes);
    }
}

// One coordinator is dead, another one's share is used up: an operation that the
// third can grant is not refused.
BOOST_AUTO_TEST_CASE(an_operation_is_granted_by_the_next_coordinator) {
    event_loop io;
    fake_grants channel;
    grant_desk desk{"self", bound};
    limiter keeper{channel, desk, "self", "here"};
    std::vector<coordinator_place> places;
    const auto where = asio::ip::make_address("10.0.0.1");
    for (std::uint16_t port = 1; port <= 3; ++port) {
        places.push_back({"p" + std::to_string(port), "here", {where, port}});
    }
    keeper.set_proxies(places);
    const accounts::rate_limit limit{100, 100};
    const auto gate = gate_of(limit);
    channel.answers[2].push_back({.outcome = grant_outcome::used_up, .wait = 5ms});
    channel.answers[3].push_back({.outcome = grant_outcome::granted});
    std::vector<limit_verdict> got;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            got.push_back(co_await keeper.admit("yard", limit, gate));
            channel.answers.clear();
            for (const std::uint16_t port : {1, 2, 3}) {
                channel.answers[port].push_back({.outcome = grant_outcome::used_up, .wait = 30ms});
            }
            got.push_back(co_await keeper.admit("yard", limit, gate));
            const auto before = channel.asked.size();
            got.push_back(co_await keeper.admit("yard", limit, gate));
            BOOST_TEST(channel.asked.size() == before);
            io.stop();
        },
        asio::detached);
    io.run();
    BOOST_TEST_REQUIRE(got.size() == 3U);
    BOOST_TEST((got[0].what == limit_verdict::kind::granted));
    BOOST_TEST((got[1].what == limit_verdict::kind::used_up));
    BOOST_TEST((got[1].wait == 30ms));
    BOOST_TEST((got[2].what == limit_verdict::kind::used_up));
    io.destroy_suspended_coroutines();
}

// A flood of one account: its operations beyond the limit are refused before
// they take a connection, and a transaction is refused at its start or not at all.
BOOST_AUTO_TEST_CASE(an_operation_beyond_the_limit_reaches_no_server) {
    test::proxy_in_memory proxy;
    auto config = test::three_databases(2);
    config.routes.at("strict").keyless = false;
    config.accounts.add({.name = "yard", .limit = accounts::rate_limit{1, 1}});
    config.accounts.add_key(accounts::key_digest::of("key"), "yard");
    int left = 2;
    proxy.host.keep_limits({.admit = [&](std::string, accounts::rate_limit) -> asio::awaitable<limit_verdict> {
        co_return left-- > 0 ? limit_verdict{} : limit_verdict{limit_verdict::kind::used_up, 700ms, 1};
    }});
    proxy.host.update(config);
    using sql::statement_kind;
    test::caller_script caller{
        .events = {session::session_opening{.database = "strict", .key = accounts::key_digest::of("key")},
                   test::ask("s", statement_kind::set, "x", "lang"), test::ask("a", statement_kind::read, "1"),
                   test::ask("b", statement_kind::begin), test::ask("c", statement_kind::write, "1 x"),
                   test::ask("d", statement_kind::commit), test::ask("e", statement_kind::begin),
                   test::ask("f", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 7U);
    for (const std::size_t served : {0U, 1U, 2U, 3U, 4U}) {
        BOOST_TEST(caller.answers[served].ok());
    }
    for (const std::size_t refused : {5U, 6U}) {
        BOOST_TEST((caller.answers[refused].why() == sql::refusal::overloaded));
        BOOST_TEST(caller.answers[refused].error_text().find("700 ms") != std::string::npos);
    }
    BOOST_TEST(proxy.server("p").of("f").empty());
}

BOOST_AUTO_TEST_SUITE_END()
