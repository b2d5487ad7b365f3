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

accounts::authorizer authorizer_with(const accounts::rate_limit& limit) {
    accounts::directory all;
    all.add({.name = "yard", .limit = limit});
    accounts::authorizer out;
    out.set_accounts(all);
    return out;
}

std::vector<std::string> names(std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back("proxy-" + std::to_string(i));
    }
    return out;
}

/// Maximum number of grants in any window of the bound's length.
std::size_t max_in_window(const std::vector<boot_clock::time_point>& at) {
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

/// Proxies that coordinate accounts, called directly and with simulated time.
struct coordinator_group {
    coordinator_group(std::size_t count, const accounts::rate_limit& limit, bool first_start = true)
        : authorizer{authorizer_with(limit)}
        , proxy_names{names(count)} {
        for (const auto& name : proxy_names) {
            members.emplace(name, limit_coordinator{name, bound, first_start});
            members.at(name).set_proxies(proxy_names, start);
        }
    }

    /// Requests one operation from the coordinators in rotation; true when one of them granted it.
    bool admit(boot_clock::time_point now, std::size_t rotation) {
        auto order = members.at(proxy_names.front()).coordinators("yard", *authorizer.accounts().find("yard")->limit);
        std::ranges::rotate(order, order.begin() + static_cast<std::ptrdiff_t>(rotation % order.size()));
        for (const auto& name : order) {
            if (!unreachable.contains(name) &&
                members.at(name).grant("yard", authorizer, now).outcome == grant_outcome::granted) {
                return true;
            }
        }
        return false;
    }

    void restart(const std::string& name, boot_clock::time_point now) {
        members.insert_or_assign(name, limit_coordinator{name, bound});
        members.at(name).set_proxies(proxy_names, now);
    }

    accounts::authorizer authorizer;
    std::vector<std::string> proxy_names;
    std::map<std::string, limit_coordinator, std::less<>> members;
    std::set<std::string, std::less<>> unreachable;
};

/// Responds with the queued responses of each proxy, by port; a proxy without one does not respond.
struct fake_grant_channel {
    std::map<std::uint16_t, std::deque<grant_response>> responses;
    std::vector<std::uint16_t> asked;

    asio::awaitable<std::optional<grant_response>> request_grant(asio::ip::udp::endpoint to, std::string,
                                                                 boot_clock::time_point until) {
        asked.push_back(to.port());
        auto& left = responses[to.port()];
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

BOOST_AUTO_TEST_CASE(shares_of_all_coordinators_stay_within_the_limit) {
    for (const auto& limit : {accounts::rate_limit{2, 2}, accounts::rate_limit{35, 35}, accounts::rate_limit{191, 191},
                              accounts::rate_limit{0.2, 1}, accounts::rate_limit{5000, 100}}) {
        for (const std::size_t proxies : {1U, 3U, 7U, 84U, 3500U}) {
            const auto number = coordinator_count(limit, bound, proxies);
            const auto share = share_of(limit, bound, number);
            const auto all = static_cast<double>(number);
            const double seconds = std::chrono::duration<double>(bound.window).count();
            // All coordinators restart twice in the window, and their buckets are full before.
            const double most = all * (share.per_second * seconds + share.capacity + 2 * share.initial_level);
            BOOST_TEST(most <= bound.max_operations(limit) + 1e-6);
            BOOST_TEST(number <= proxies);
            BOOST_TEST(share.capacity >= 1.0);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_joining_proxy_replaces_few_coordinators) {
    const auto before = names(84);
    auto after = before;
    after.push_back("proxy-new");
    std::size_t moved = 0;
    for (int i = 0; i < 200; ++i) {
        const auto account = "account-" + std::to_string(i);
        const auto chosen = choose_coordinators(account, 8, before);
        BOOST_TEST(chosen.size() == 8U);
        for (const auto index : choose_coordinators(account, 8, after)) {
            moved += after[index] == "proxy-new" ? 1U : 0U;
        }
    }
    BOOST_TEST(moved > 0U);
    BOOST_TEST(moved < 60U);
}

// An account sends at eight times its limit through all proxies, while coordinators become unreachable and all of them
// restart. No window may hold more operations than the bound.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_bound_under_faults) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random{seed};
        const double rate = std::uniform_real_distribution{1.0, 120.0}(random);
        const accounts::rate_limit limit{rate, rate};
        coordinator_group all{84, limit, seed % 2 == 0};
        const auto coordinators = all.members.at("proxy-0").coordinators("yard", limit);
        std::vector<boot_clock::time_point> granted;
        const auto gap =
            std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{1 / (8 * rate)});
        auto last_restart = start - 10s;
        std::size_t rotation = 0;
        for (auto now = start; now < start + 20s; now += gap) {
            if (all.admit(now, rotation++)) {
                granted.push_back(now);
            }
            const auto& one = coordinators[random() % coordinators.size()];
            if (random() % 400 == 0) {
                all.unreachable.insert(one);
            } else if (random() % 400 == 0) {
                all.unreachable.erase(one);
            }
            // All coordinators restart at once, at most twice in a window.
            if (now - last_restart > 3s && random() % 500 == 0) {
                last_restart = now;
                for (const auto& name : coordinators) {
                    all.restart(name, now);
                }
            }
        }
        BOOST_TEST(static_cast<double>(max_in_window(granted)) <= bound.max_operations(limit), "seed " << seed);
    }
}

// An account sends at 0.63 of its limit, one operation at a time, with random intervals. At most 1
// in 10,000 operations may be refused.
BOOST_AUTO_TEST_CASE(an_account_below_its_limit_is_served_without_faults) {
    for (const double rate : {2.0, 22.0, 191.0}) {
        coordinator_group all{84, {rate, rate}};
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

// As above, while two of the eight coordinators stay unreachable, as when a third of the proxies are partitioned away.
// At most 1 in 1,000 operations may be refused.
BOOST_AUTO_TEST_CASE(an_account_below_its_limit_is_served_without_two_of_its_coordinators) {
    coordinator_group all{84, {22.0, 22.0}};
    const auto coordinators = all.members.at("proxy-0").coordinators("yard", {22.0, 22.0});
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

// A proxy takes over the share of one that is considered gone. That one may only be partitioned and still grant
// operations to the proxies that reach it: if both granted at once, the limit would be exceeded.
BOOST_AUTO_TEST_CASE(a_proxy_that_takes_over_a_share_waits_first) {
    const accounts::rate_limit limit{100, 100};
    const auto authorizer = authorizer_with(limit);
    auto all = names(20);
    const auto before = choose_coordinators("yard", 8, all);
    const auto departed = all[before[0]];
    auto rest = all;
    std::erase(rest, departed);
    std::string successor;
    for (const auto index : choose_coordinators("yard", 8, rest)) {
        const auto& name = rest[index];
        if (std::ranges::none_of(before, [&](auto at) { return all[at] == name; })) {
            successor = name;
        }
    }
    BOOST_TEST_REQUIRE(!successor.empty());
    limit_coordinator coordinator{successor, bound, true};
    coordinator.set_proxies(all, start);
    BOOST_TEST((coordinator.grant("yard", authorizer, start).outcome == grant_outcome::not_coordinator));
    coordinator.set_proxies(rest, start + 10s);
    BOOST_TEST((coordinator.grant("yard", authorizer, start + 11s).outcome == grant_outcome::used_up));
    BOOST_TEST((coordinator.grant("yard", authorizer, start + 10s + limit_coordinator::takeover_delay + 1s).outcome ==
                grant_outcome::granted));
}

// A proxy starts while the store refuses it, and knows only two others, from their heartbeats. It must not consider
// itself a coordinator of every account, in addition to the coordinators that all other proxies choose.
BOOST_AUTO_TEST_CASE(a_proxy_with_an_incomplete_proxy_list_grants_nothing) {
    const auto authorizer = authorizer_with({100, 100});
    limit_coordinator uninformed{"proxy-0", bound, true};
    uninformed.set_proxies(names(3), start, false);
    BOOST_TEST((uninformed.grant("yard", authorizer, start + 1s).outcome == grant_outcome::not_coordinator));
    const auto all = names(84);
    limit_coordinator informed{all[choose_coordinators("yard", 8, all).front()], bound, true};
    informed.set_proxies(names(3), start, false);
    informed.set_proxies(all, start + 2s);
    BOOST_TEST((informed.grant("yard", authorizer, start + 2s).outcome == grant_outcome::granted));
}

// An operator lowers a limit far below the rate of requests: tokens saved up under the previous limit must not be
// granted.
BOOST_AUTO_TEST_CASE(a_lowered_limit_applies_at_once) {
    limit_coordinator coordinator{"a", bound, true};
    coordinator.set_proxies({"a"}, start);
    const auto high = authorizer_with({1000, 1000});
    const auto low = authorizer_with({1, 1});
    BOOST_TEST((coordinator.grant("yard", high, start).outcome == grant_outcome::granted));
    std::vector<boot_clock::time_point> granted;
    for (auto now = start + 1ms; now < start + 5s; now += 2ms) {
        if (coordinator.grant("yard", low, now).outcome == grant_outcome::granted) {
            granted.push_back(now);
        }
    }
    BOOST_TEST(static_cast<double>(granted.size()) <= bound.max_operations({1, 1}));
    BOOST_TEST(!granted.empty());
}

BOOST_AUTO_TEST_CASE(a_coordinator_without_a_valid_lease_grants_nothing) {
    accounts::authorizer authorizer{accounts::configuration_lease{2000ms}};
    accounts::directory all;
    all.add({.name = "yard", .limit = accounts::rate_limit{10, 10}});
    authorizer.set_accounts(all);
    limit_coordinator coordinator{"a", bound, true};
    coordinator.set_proxies({"a"}, start);
    BOOST_TEST((coordinator.grant("yard", authorizer, start).outcome == grant_outcome::not_coordinator));
    authorizer.confirm_current(start);
    BOOST_TEST((coordinator.grant("yard", authorizer, start).outcome == grant_outcome::granted));
    BOOST_TEST((coordinator.grant("nobody", authorizer, start).outcome == grant_outcome::not_coordinator));
}

// At least 90 % of the operations that are retried after the reported wait must be granted.
BOOST_AUTO_TEST_CASE(a_retry_after_the_reported_wait_is_granted) {
    const accounts::rate_limit limit{20, 20};
    coordinator_group all{8, limit};
    std::mt19937_64 random{11};
    std::size_t retried = 0;
    std::size_t served = 0;
    std::size_t rotation = 0;
    for (auto now = start; now < start + 30s; now += 40ms) {
        if (all.admit(now, rotation++)) {
            continue;
        }
        auto wait = 5000ms;
        for (auto& [name, member] : all.members) {
            const auto response = member.grant("yard", all.authorizer, now);
            wait = std::min(wait, response.wait);
        }
        ++retried;
        served += all.admit(now + wait, rotation) ? 1U : 0U;
    }
    BOOST_TEST(served * 10 >= retried * 9, served << " of " << retried);
}

BOOST_AUTO_TEST_CASE(messages_decode_as_encoded) {
    const auto request = decode_grant_request(encode(grant_request{77, "yard"})).value();
    BOOST_TEST(request.nonce == 77U);
    BOOST_TEST(request.account == "yard");
    const auto response = decode_grant_response(encode(grant_response{78, grant_outcome::used_up, 120ms})).value();
    BOOST_TEST(response.nonce == 78U);
    BOOST_TEST((response.outcome == grant_outcome::used_up));
    BOOST_TEST((response.wait == 120ms));
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected) {
    for (const auto* malformed :
         {"", "lq1", "lq1 ", "lq1 x yard", "lq1 7", "lq1 7 ", "lq1 7 two words", "lq2 7 yard", "la1 7 0", "la1 7 9 0",
          "la1 7 0 -1", "la1 7 0 99999999999999999999", "la1  0 0", "cl3 q 1 2"}) {
        BOOST_TEST(!decode_grant_request(malformed).has_value(), malformed);
        BOOST_TEST(!decode_grant_response(malformed).has_value(), malformed);
    }
    std::mt19937_64 random{3};
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes{i % 2 == 0 ? "lq1 " : "la1 "};
        for (auto left = random() % 20; left > 0; --left) {
            bytes.push_back(static_cast<char>(random() % 256));
        }
        (void)decode_grant_request(bytes);
        (void)decode_grant_response(bytes);
    }
}

// One coordinator does not respond and the share of another is used up: an operation that the third can grant must not
// be refused.
BOOST_AUTO_TEST_CASE(an_operation_is_granted_by_the_next_coordinator) {
    event_loop io;
    fake_grant_channel channel;
    limit_coordinator coordinator{"self", bound};
    limiter under_test{channel, coordinator, "self", "here"};
    std::vector<coordinator_endpoint> endpoints;
    const auto where = asio::ip::make_address("10.0.0.1");
    for (std::uint16_t port = 1; port <= 3; ++port) {
        endpoints.push_back({"p" + std::to_string(port), "here", {where, port}});
    }
    under_test.set_proxies(endpoints);
    const accounts::rate_limit limit{100, 100};
    const auto authorizer = authorizer_with(limit);
    channel.responses[2].push_back({.outcome = grant_outcome::used_up, .wait = 5ms});
    channel.responses[3].push_back({.outcome = grant_outcome::granted});
    std::vector<admission_result> got;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            got.push_back(co_await under_test.admit("yard", limit, authorizer));
            channel.responses.clear();
            for (const std::uint16_t port : {1, 2, 3}) {
                channel.responses[port].push_back({.outcome = grant_outcome::used_up, .wait = 30ms});
            }
            got.push_back(co_await under_test.admit("yard", limit, authorizer));
            const auto before = channel.asked.size();
            got.push_back(co_await under_test.admit("yard", limit, authorizer));
            BOOST_TEST(channel.asked.size() == before);
            io.stop();
        },
        asio::detached);
    io.run();
    BOOST_TEST_REQUIRE(got.size() == 3U);
    BOOST_TEST((got[0].outcome == admission_result::kind::granted));
    BOOST_TEST((got[1].outcome == admission_result::kind::used_up));
    BOOST_TEST((got[1].wait == 30ms));
    BOOST_TEST((got[2].outcome == admission_result::kind::used_up));
    io.destroy_suspended_coroutines();
}

// Operations beyond an account's limit are refused before they take a connection; a transaction is refused at its start
// or not at all.
BOOST_AUTO_TEST_CASE(an_operation_beyond_the_limit_reaches_no_server) {
    test::proxy_in_memory proxy;
    auto config = test::three_databases(2);
    config.routes.at("strict").keyless = false;
    config.accounts.add({.name = "yard", .limit = accounts::rate_limit{1, 1}});
    config.accounts.add_key(accounts::key_digest::of("key"), "yard");
    int left = 2;
    proxy.host.set_operation_limits(
        {.admit = [&](std::string, accounts::rate_limit) -> asio::awaitable<admission_result> {
            co_return left-- > 0 ? admission_result{} : admission_result{admission_result::kind::used_up, 700ms, 1};
        }});
    proxy.host.update(config);
    using sql::statement_kind;
    test::caller_script caller{
        .events = {session::session_opening{.database = "strict", .key = accounts::key_digest::of("key")},
                   test::request("s", statement_kind::set, "x", "lang"), test::request("a", statement_kind::read, "1"),
                   test::request("b", statement_kind::begin), test::request("c", statement_kind::write, "1 x"),
                   test::request("d", statement_kind::commit), test::request("e", statement_kind::begin),
                   test::request("f", statement_kind::read, "1")}};
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
