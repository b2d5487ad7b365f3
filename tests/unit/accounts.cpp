#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "cornellever/accounts/gate.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/cluster/table_news.hpp"
#include "cornellever/session/describe.hpp"
#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using accounts::key_digest;
using accounts::permission;
using sql::refusal;
using sql::statement_kind;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};

accounts::directory two_accounts() {
    accounts::directory out;
    out.add({.name = "yard"});
    out.add({.name = "shop"});
    out.add_key(key_digest::of("key-yard"), "yard");
    out.add_key(key_digest::of("key-yard-2"), "yard");
    out.add_key(key_digest::of("key-shop"), "shop");
    return out;
}

/// Databases that need a key, and another one, `open`, that does not.
routing::configuration with_accounts(std::uint64_t version) {
    auto out = three_databases(version);
    for (auto& [name, route] : out.routes) {
        route.keyless = false;
    }
    auto open = out.routes.at("strict");
    open.database = "open";
    open.keyless = true;
    out.routes.emplace("open", open);
    out.accounts = two_accounts();
    return out;
}

/// The same after a key was taken away.
routing::configuration without_key(std::uint64_t version, std::string_view taken) {
    auto out = with_accounts(version);
    accounts::directory left;
    for (const auto& [name, item] : out.accounts.all()) {
        left.add(item);
    }
    for (const auto& [digest, name] : out.accounts.keys()) {
        if (digest != key_digest::of(taken)) {
            left.add_key(digest, name);
        }
    }
    out.accounts = left;
    return out;
}

session::caller_event opening_with(std::string database, std::string_view key) {
    return session::session_opening{.database = std::move(database), .key = key_digest::of(key)};
}

struct proxy_with_accounts : proxy_in_memory {
    proxy_with_accounts() { host.update(with_accounts(2)); }
};

refusal why(const caller_script& script, std::size_t answer) {
    BOOST_TEST_REQUIRE(script.answers.size() > answer);
    return script.answers[answer].why();
}

/// For whom the connections were opened on which a request was met.
std::set<std::string> accounts_of(proxy_in_memory& proxy, const std::string& id) {
    std::set<std::string> out;
    for (auto& [name, server] : proxy.connector.servers) {
        for (const auto& item : server.of(id)) {
            out.insert(item.account);
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_accounts)

BOOST_AUTO_TEST_CASE(a_digest_reads_as_it_was_written) {
    const auto digest = key_digest::of("a key");
    BOOST_TEST((key_digest::parse(digest.text()).value() == digest));
    BOOST_TEST((digest != key_digest::of("another")));
    BOOST_TEST(digest.text().find("a key") == std::string::npos);
    for (const auto* odd : {"", "00", "zz", "-"}) {
        BOOST_TEST(!key_digest::parse(odd).has_value());
    }
    BOOST_TEST(!key_digest::parse(digest.text() + "00").has_value());
}

// Two accounts were given the same key by mistake. Whoever sends it must not
// see the data of either in the other's name.
BOOST_AUTO_TEST_CASE(a_key_of_two_accounts_stands_for_none) {
    auto all = two_accounts();
    all.add_key(key_digest::of("key-yard"), "shop");
    BOOST_TEST(all.holder(key_digest::of("key-yard")) == nullptr);
    all.add_key(key_digest::of("key-yard"), "yard");
    BOOST_TEST(all.holder(key_digest::of("key-yard")) == nullptr);
    BOOST_TEST(all.ambiguous() == 1U);
    BOOST_TEST(all.holder(key_digest::of("key-yard-2"))->name == "yard");
}

BOOST_AUTO_TEST_CASE(a_key_given_twice_to_one_account_holds) {
    auto all = two_accounts();
    all.add_key(key_digest::of("key-yard"), "yard");
    BOOST_TEST(all.holder(key_digest::of("key-yard"))->name == "yard");
}

BOOST_AUTO_TEST_CASE(a_key_of_an_account_that_is_not_there_stands_for_none) {
    auto all = two_accounts();
    all.add_key(key_digest::of("lost"), "nobody");
    BOOST_TEST(all.holder(key_digest::of("lost")) == nullptr);
}

BOOST_AUTO_TEST_CASE(ten_thousand_accounts_are_told_apart) {
    accounts::directory all;
    for (int i = 0; i < 10'000; ++i) {
        const auto name = "account-" + std::to_string(i);
        all.add({.name = name});
        all.add_key(key_digest::of("key-of-" + name), name);
    }
    BOOST_TEST(all.keys().size() == 10'000U);
    BOOST_TEST(all.holder(key_digest::of("key-of-account-4711"))->name == "account-4711");
    BOOST_TEST(all.holder(key_digest::of("key-of-account-10000")) == nullptr);
}

// A key is taken away while a proxy can hear nobody. It has to stop by itself
// before the bound, whatever it still believes.
BOOST_AUTO_TEST_CASE(a_lease_ends_before_the_bound_of_the_last_proof) {
    accounts::configuration_lease lease{5000ms};
    BOOST_TEST(!lease.holds(start));
    lease.prove(start);
    BOOST_TEST(lease.holds(start + 4000ms));
    BOOST_TEST(!lease.holds(start + 5000ms));
    lease.prove(start + 3000ms);
    lease.prove(start + 1000ms);
    BOOST_TEST(lease.holds(start + 7000ms));
    BOOST_TEST(!lease.holds(start + 8000ms));
}

BOOST_AUTO_TEST_CASE(without_a_bound_a_copy_holds_until_it_is_replaced) {
    BOOST_TEST(accounts::configuration_lease{}.holds(start + std::chrono::hours{5}));
}

BOOST_AUTO_TEST_CASE(open_databases_ask_for_neither_key_nor_lease) {
    accounts::gate gate{accounts::configuration_lease{5000ms}};
    gate.take(two_accounts());
    BOOST_TEST(gate.ask(true, key_digest::of("whatever"), start).granted());
    BOOST_TEST((gate.ask(false, key_digest::of("whatever"), start).verdict == permission::unknown_key));
    BOOST_TEST((gate.ask(false, key_digest::of("key-yard"), start).verdict == permission::lease_ended));
    gate.prove(start);
    BOOST_TEST(gate.ask(false, key_digest::of("key-yard"), start).account_name() == "yard");
}

// The name of a decision is the account's own text, not a copy that is gone.
BOOST_AUTO_TEST_CASE(a_decision_names_an_account_with_a_long_name) {
    const std::string name(80, 'y');
    accounts::directory all;
    all.add({.name = name});
    all.add_key(key_digest::of("key"), name);
    accounts::gate gate;
    gate.take(all);
    const auto may = gate.ask(false, key_digest::of("key"), start);
    BOOST_TEST(may.account_name().data() == may.who->name.data());
    BOOST_TEST(may.account_name() == name);
}

// All courses of two proxies, the store and one key that is taken away, over ten
// steps of half a second: a proxy may ask the store, hear from the other, or
// nothing; answers say how things were when the question was sent. Whatever
// happens, nobody runs a request of the key at or after the bound.
BOOST_AUTO_TEST_CASE(no_course_of_two_proxies_runs_a_key_after_the_bound) {
    static constexpr std::chrono::milliseconds step{500};
    static constexpr std::chrono::milliseconds bound{2000};
    constexpr int steps = 7;
    constexpr int moves = 5;
    struct proxy {
        std::uint64_t version{1};
        cluster::table_news news;
        accounts::configuration_lease lease{bound};
        void prove() { lease.prove(news.current_at()); }
    };
    const auto ask_store = [](proxy& one, std::uint64_t newest, boot_clock::time_point asked) {
        one.version = newest;
        one.news.note_current(asked);
        one.prove();
    };
    const auto hear = [](proxy& one, const proxy& other, boot_clock::time_point asked, boot_clock::time_point now) {
        if (other.news.current_at() != boot_clock::time_point{}) {
            const auto age = asked - other.news.current_at();
            one.news.hear(other.version, one.version, asked - age, now);
        }
        one.prove();
    };
    int courses = 0;
    int ran_late = 0;
    int ran_in_time = 0;
    std::array<int, steps> course{};
    for (bool more = true; more;) {
        ++courses;
        proxy a;
        proxy b;
        ask_store(a, 1, start);
        ask_store(b, 1, start);
        const auto taken_at = start + step / 2;
        for (int at = 0; at < steps; ++at) {
            const auto asked = start + step * at;
            const auto now = asked + step - 1ms;
            const std::uint64_t newest = asked >= taken_at ? 2 : 1;
            switch (course.at(static_cast<std::size_t>(at))) {
            case 1:
                ask_store(a, newest, asked);
                break;
            case 2:
                ask_store(b, newest, asked);
                break;
            case 3:
                hear(a, b, asked, now);
                break;
            case 4:
                hear(b, a, asked, now);
                break;
            default:
                break;
            }
            for (const auto* one : {&a, &b}) {
                const bool runs = one->version == 1 && one->lease.holds(now);
                ran_late += runs && now >= taken_at + bound ? 1 : 0;
                ran_in_time += runs && now < taken_at + bound ? 1 : 0;
            }
        }
        std::size_t place = 0;
        while (place < course.size() && ++course.at(place) == moves) {
            course.at(place++) = 0;
        }
        more = place < course.size();
    }
    BOOST_TEST(courses == 78125);
    BOOST_TEST(ran_late == 0);
    BOOST_TEST(ran_in_time > courses);
}

BOOST_AUTO_TEST_CASE(a_snapshot_for_a_peer_keeps_accounts_and_holds_no_key) {
    auto config = with_accounts(3);
    config.accounts.add({.name = "yard", .priority = 2, .limit = accounts::rate_limit{2.5, 4.0}});
    const auto json = cluster::snapshot_of(cluster::pack(config), {}, {});
    BOOST_TEST(json.toStyledString().find("key-yard") == std::string::npos);
    const packed_text packed{json["config"]["bytes"].asUInt64(), json["config"]["packed"].asString()};
    const auto text = unpack(packed, 1'000'000).value();
    BOOST_TEST(text.find("yard") != std::string::npos);
    BOOST_TEST(text.find("key-yard") == std::string::npos);
    const auto back = cluster::snapshot_from_json(json).value();
    BOOST_TEST((back.config.accounts.all() == config.accounts.all()));
    BOOST_TEST((back.config.accounts.keys() == config.accounts.keys()));
    BOOST_TEST(!back.config.routes.at("strict").keyless);
    BOOST_TEST(back.config.routes.at("open").keyless);
}

// A stranger gets to see the stock of a service by a key that he made up.
BOOST_AUTO_TEST_CASE(an_unknown_key_opens_no_session) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "made up"), ask("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.refusals.size() == 1U);
    BOOST_TEST((caller.refusals.front().why == refusal::unknown_key));
    BOOST_TEST(!caller.welcomed);
}

// A chef's reservation shows in the books of another account: the connection
// had been opened for that one, and the server takes all on it for its own.
BOOST_AUTO_TEST_CASE(each_statement_runs_on_a_connection_of_its_own_account) {
    proxy_with_accounts proxy;
    std::vector<caller_script> scripts;
    for (int i = 0; i < 12; ++i) {
        const std::string key = i % 2 == 0 ? "key-yard" : "key-shop";
        const auto id = key + std::to_string(i);
        scripts.push_back(
            {.events = {opening_with(i % 3 == 0 ? "fresh" : "strict", key), ask(id, statement_kind::read, "1"),
                        ask("b" + id, statement_kind::begin), ask("w" + id, statement_kind::write, "1 x"),
                        ask("c" + id, statement_kind::commit)}});
    }
    std::vector<caller_script*> all;
    for (auto& item : scripts) {
        all.push_back(&item);
    }
    proxy.play_together(all, [&] { proxy.host.tick(); });
    for (int i = 0; i < 12; ++i) {
        const std::string name = i % 2 == 0 ? "yard" : "shop";
        const auto id = "key-" + name + std::to_string(i);
        BOOST_TEST(scripts[static_cast<std::size_t>(i)].answers.size() == 4U);
        for (const auto& request : {id, "w" + id, "c" + id}) {
            BOOST_TEST((accounts_of(proxy, request) == std::set<std::string>{name}), request);
        }
    }
}

// Callers of one account keep each connection of a proxy busy. One of another,
// which has a single session, waits until its time is over: each connection that
// comes free is the large one's and goes to its next request.
BOOST_AUTO_TEST_CASE(a_small_account_does_not_wait_behind_a_large_one) {
    proxy_with_accounts proxy;
    proxy.host.set_proxies(places(8));
    std::vector<caller_script> scripts(7);
    for (int i = 0; i < 6; ++i) {
        auto& events = scripts[static_cast<std::size_t>(i)].events;
        events.push_back(opening_with("strict", "key-yard"));
        for (int n = 0; n < 40; ++n) {
            events.push_back(ask("y" + std::to_string(i) + "-" + std::to_string(n), statement_kind::read, "1"));
        }
    }
    scripts[6].events = {opening_with("strict", "key-shop"), ask("s", statement_kind::read, "1")};
    std::vector<caller_script*> all;
    for (auto& item : scripts) {
        all.push_back(&item);
    }
    proxy.play_together(all, [&] { proxy.host.tick(); });
    BOOST_TEST_REQUIRE(scripts[6].answers.size() == 1U);
    BOOST_TEST(scripts[6].answers[0].ok(), scripts[6].answers[0].error_text());
    BOOST_TEST((accounts_of(proxy, "s") == std::set<std::string>{"shop"}));
    std::size_t served = 0;
    for (int i = 0; i < 6; ++i) {
        for (const auto& answer : scripts[static_cast<std::size_t>(i)].answers) {
            served += answer.ok() ? 1U : 0U;
        }
    }
    BOOST_TEST(served == 240U);
}

// All VMs lost power. The servers count the connections of the dead processes for
// 3 s and refuse more; those owners that came back first took what was left beyond
// their share, and the others' callers were refused.
BOOST_AUTO_TEST_CASE(a_full_server_is_left_to_those_that_have_no_connection) {
    for (const bool full : {false, true}) {
        proxy_in_memory proxy;
        auto config = with_accounts(2);
        std::vector<caller_script> scripts(6);
        for (std::size_t i = 0; i < scripts.size(); ++i) {
            const auto name = "account-" + std::to_string(i);
            config.accounts.add({.name = name});
            config.accounts.add_key(key_digest::of(name), name);
            scripts[i].events.push_back(opening_with("strict", name));
            for (int n = 0; n < 12; ++n) {
                scripts[i].events.push_back(ask(name + "-" + std::to_string(n), statement_kind::read, "1"));
            }
        }
        proxy.host.update(config);
        auto& primary = proxy.server("p");
        if (full) {
            primary.connect_fails = routing::connect_failure::too_many_connections;
        }
        proxy.later(20ms, [&] { primary.connect_fails.reset(); });
        std::vector<caller_script*> all;
        for (auto& item : scripts) {
            all.push_back(&item);
        }
        proxy.play_together(all, [&] { proxy.host.tick(); });
        const auto shared = session::share_connections("stock", config.services.at("stock").max_connections, places(3));
        BOOST_TEST_REQUIRE(shared.each_under_load > shared.connections_each);
        const auto most = static_cast<std::size_t>(primary.most_open);
        BOOST_TEST(most <= (full ? shared.connections_each : shared.each_under_load));
        BOOST_TEST((full || most > shared.connections_each));
    }
}

// A clerk is dismissed and the key of the till taken away. Her open session went
// on selling.
BOOST_AUTO_TEST_CASE(a_key_taken_away_ends_an_open_session) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::read, "1"),
                                    ask("b", statement_kind::read, "1")}};
    caller.before[2] = [&] { proxy.host.update(without_key(3, "key-yard")); };
    caller_script other{.events = {opening_with("strict", "key-yard-2"), ask("c", statement_kind::read, "1")}};
    proxy.play({&caller, &other});
    BOOST_TEST(caller.answers[0].ok());
    BOOST_TEST((why(caller, 1) == refusal::unknown_key));
    BOOST_TEST(proxy.server("p").of("b").empty());
    BOOST_TEST(caller.closed);
    // Another key of the same account goes on.
    BOOST_TEST(other.answers.at(0).ok());
}

// As above, inside a transaction: what it wrote must not be kept.
BOOST_AUTO_TEST_CASE(a_key_taken_away_rolls_an_open_transaction_back) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::begin),
                                    ask("b", statement_kind::write, "1 x"), ask("c", statement_kind::commit)}};
    caller.before[3] = [&] { proxy.host.update(without_key(3, "key-yard")); };
    proxy.play({&caller});
    BOOST_TEST(caller.answers.at(1).ok());
    BOOST_TEST((why(caller, 2) == refusal::aborted));
    BOOST_TEST(proxy.server("p").of("c").empty());
    BOOST_TEST(proxy.server("p").count(statement_kind::rollback) >= 1U);
}

// The key is taken away while its request waits in line for a connection.
BOOST_AUTO_TEST_CASE(a_key_taken_away_stops_a_request_in_line) {
    proxy_with_accounts proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).connect_fails = routing::connect_failure::too_many_connections;
    }
    caller_script caller{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::write, "1 x")}};
    proxy.later(25ms, [&] {
        proxy.host.update(without_key(3, "key-yard"));
        proxy.server("p").connect_fails.reset();
    });
    proxy.play_together({&caller}, [&] { proxy.host.tick(); });
    BOOST_TEST(!caller.answers.at(0).ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
}

// The key goes to another account while a session of it is open: its statements
// run under the new name, and a transaction of the old one ends.
BOOST_AUTO_TEST_CASE(a_key_that_moves_to_another_account_takes_no_connection_along) {
    proxy_with_accounts proxy;
    auto moved = without_key(3, "key-yard");
    moved.accounts.add_key(key_digest::of("key-yard"), "shop");
    caller_script alone{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::read, "1"),
                                   ask("b", statement_kind::read, "1")}};
    caller_script inside{.events = {opening_with("strict", "key-yard"), ask("d", statement_kind::begin),
                                    ask("e", statement_kind::write, "1 x"), ask("f", statement_kind::write, "1 y")}};
    inside.before[3] = [&] { proxy.host.update(moved); };
    alone.before[2] = [&] {
        moved.version = 4;
        proxy.host.update(moved);
    };
    proxy.play({&inside, &alone});
    BOOST_TEST((why(inside, 2) == refusal::aborted));
    BOOST_TEST(proxy.server("p").of("f").empty());
    BOOST_TEST((accounts_of(proxy, "b") == std::set<std::string>{"shop"}));
}

// A proxy was cut off from the store and from its peers. Its callers' requests
// are refused before the bound, with a promise that nothing was run, and those
// of databases that need no key go on.
BOOST_AUTO_TEST_CASE(without_a_lease_nothing_of_an_account_runs) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    session::traffic<fake_connector> host{proxy.io.get_executor(), proxy.connector, "a", "here",
                                          accounts::configuration_lease{400ms}};
    proxy.connector.servers["p"].leads = true;
    host.update(with_accounts(2));
    host.update(three_servers());
    host.set_proxies(places(3));
    host.prove_configuration(boot_clock::now());
    caller_script caller{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::read, "1"),
                                    ask("b", statement_kind::write, "1 x"), ask("c", statement_kind::write, "1 x")}};
    caller_script keyless{.events = {opening_with("open", "nobody"), ask("d", statement_kind::read, "1")}};
    caller.before[2] = [&] { host.prove_configuration(boot_clock::now() - 1s); };
    caller.before[3] = [&] { host.prove_configuration(boot_clock::now()); };
    asio::co_spawn(
        proxy.io,
        [&]() -> asio::awaitable<void> {
            co_await sleep_for(10ms);
            asio::co_spawn(proxy.io, host.serve(fake_caller{keyless}), asio::detached);
            co_await sleep_for(250ms);
            co_await host.serve(fake_caller{caller});
            proxy.io.stop();
        },
        asio::detached);
    proxy.io.run();
    BOOST_TEST(keyless.answers.at(0).ok());
    BOOST_TEST((why(caller, 0) == refusal::overloaded));
    BOOST_TEST((why(caller, 1) == refusal::overloaded));
    BOOST_TEST(proxy.server("p").of("b").empty());
    BOOST_TEST(caller.answers.at(2).ok());
    proxy.io.destroy_suspended_coroutines();
}

// An owner of connections is sent a session by a proxy that has not heard yet
// that its key was taken away: it looks into its own copy.
BOOST_AUTO_TEST_CASE(an_owner_takes_nobodys_word_for_a_key) {
    proxy_with_accounts proxy;
    caller_script relayed{
        .events = {session::session_opening{
                       .database = "strict", .relayed = true, .key = key_digest::of("key-yard"), .config_version = 2},
                   ask("a", statement_kind::read, "1"), ask("b", statement_kind::read, "1")}};
    relayed.before[2] = [&] { proxy.host.update(without_key(3, "key-yard")); };
    caller_script later{
        .events = {session::session_opening{
            .database = "strict", .relayed = true, .key = key_digest::of("key-yard"), .config_version = 2}}};
    proxy.play({&relayed, &later});
    BOOST_TEST(relayed.answers.at(0).ok());
    BOOST_TEST((why(relayed, 1) == refusal::unknown_key));
    BOOST_TEST_REQUIRE(later.refusals.size() == 1U);
    BOOST_TEST((later.refusals.front().why == refusal::unknown_key));
}

// An operator gives a new key out. The proxy that a client comes to knows it,
// the owner that the session is relayed to hears of it a moment later.
BOOST_AUTO_TEST_CASE(an_owner_waits_for_the_version_that_a_key_came_with) {
    proxy_with_accounts proxy;
    auto newer = with_accounts(3);
    newer.accounts.add_key(key_digest::of("new"), "yard");
    caller_script relayed{
        .events = {session::session_opening{
                       .database = "strict", .relayed = true, .key = key_digest::of("new"), .config_version = 3},
                   ask("a", statement_kind::read, "1")}};
    proxy.later(60ms, [&] { proxy.host.update(newer); });
    proxy.play({&relayed});
    BOOST_TEST(relayed.answers.at(0).ok());
}

BOOST_AUTO_TEST_CASE(a_request_goes_before_a_less_urgent_one_of_a_more_important_account) {
    BOOST_TEST(routing::priority_of(0, routing::lowest_priority) < routing::priority_of(1, 0));
    BOOST_TEST(routing::priority_of(1, 0) < routing::priority_of(1, 1));
}

// Planted keys are looked for in all that a proxy tells: its state and metrics.
BOOST_AUTO_TEST_CASE(no_key_shows_in_state_or_metrics) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), ask("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    metrics::exposition page;
    session::expose(proxy.host, page);
    const auto told = session::describe(proxy.host).toStyledString() + page.text();
    for (const auto* key : {"key-yard", "key-yard-2", "key-shop"}) {
        BOOST_TEST(told.find(key) == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
