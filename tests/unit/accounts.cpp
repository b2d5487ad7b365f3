#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "cornellever/accounts/authorizer.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/cluster/table_freshness.hpp"
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

/// Databases that need a key, and the database `open`, which does not.
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

/// The same after a key was revoked.
routing::configuration without_key(std::uint64_t version, std::string_view revoked) {
    auto out = with_accounts(version);
    accounts::directory remaining;
    for (const auto& [name, item] : out.accounts.all()) {
        remaining.add(item);
    }
    for (const auto& [digest, name] : out.accounts.keys()) {
        if (digest != key_digest::of(revoked)) {
            remaining.add_key(digest, name);
        }
    }
    out.accounts = remaining;
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

/// The accounts that own the connections on which a request arrived.
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

BOOST_AUTO_TEST_CASE(a_digest_parses_back_from_its_text) {
    const auto digest = key_digest::of("a key");
    BOOST_TEST((key_digest::parse(digest.text()).value() == digest));
    BOOST_TEST((digest != key_digest::of("another")));
    BOOST_TEST(digest.text().find("a key") == std::string::npos);
    for (const auto* odd : {"", "00", "zz", "-"}) {
        BOOST_TEST(!key_digest::parse(odd).has_value());
    }
    BOOST_TEST(!key_digest::parse(digest.text() + "00").has_value());
}

// Two accounts were given the same key by mistake. Its sender must not get access to the data of either.
BOOST_AUTO_TEST_CASE(a_key_of_two_accounts_identifies_neither) {
    auto all = two_accounts();
    all.add_key(key_digest::of("key-yard"), "shop");
    BOOST_TEST(all.find_by_key(key_digest::of("key-yard")) == nullptr);
    all.add_key(key_digest::of("key-yard"), "yard");
    BOOST_TEST(all.find_by_key(key_digest::of("key-yard")) == nullptr);
    BOOST_TEST(all.ambiguous_keys() == 1U);
    BOOST_TEST(all.find_by_key(key_digest::of("key-yard-2"))->name == "yard");
}

BOOST_AUTO_TEST_CASE(a_key_added_twice_to_one_account_identifies_it) {
    auto all = two_accounts();
    all.add_key(key_digest::of("key-yard"), "yard");
    BOOST_TEST(all.find_by_key(key_digest::of("key-yard"))->name == "yard");
}

BOOST_AUTO_TEST_CASE(a_key_of_a_missing_account_identifies_none) {
    auto all = two_accounts();
    all.add_key(key_digest::of("lost"), "nobody");
    BOOST_TEST(all.find_by_key(key_digest::of("lost")) == nullptr);
}

BOOST_AUTO_TEST_CASE(ten_thousand_accounts_are_distinguished) {
    accounts::directory all;
    for (int i = 0; i < 10'000; ++i) {
        const auto name = "account-" + std::to_string(i);
        all.add({.name = name});
        all.add_key(key_digest::of("key-of-" + name), name);
    }
    BOOST_TEST(all.keys().size() == 10'000U);
    BOOST_TEST(all.find_by_key(key_digest::of("key-of-account-4711"))->name == "account-4711");
    BOOST_TEST(all.find_by_key(key_digest::of("key-of-account-10000")) == nullptr);
}

// A key is revoked while a proxy is partitioned from all others. The proxy must stop accepting it before the bound,
// although its own copy still contains the key.
BOOST_AUTO_TEST_CASE(a_lease_expires_within_the_bound_of_the_last_confirmation) {
    accounts::configuration_lease lease{5000ms};
    BOOST_TEST(!lease.is_valid(start));
    lease.confirm_current(start);
    BOOST_TEST(lease.is_valid(start + 4000ms));
    BOOST_TEST(!lease.is_valid(start + 5000ms));
    lease.confirm_current(start + 3000ms);
    lease.confirm_current(start + 1000ms);
    BOOST_TEST(lease.is_valid(start + 7000ms));
    BOOST_TEST(!lease.is_valid(start + 8000ms));
}

BOOST_AUTO_TEST_CASE(a_lease_without_a_bound_never_expires) {
    BOOST_TEST(accounts::configuration_lease{}.is_valid(start + std::chrono::hours{5}));
}

BOOST_AUTO_TEST_CASE(keyless_databases_need_neither_key_nor_lease) {
    accounts::authorizer authorizer{accounts::configuration_lease{5000ms}};
    authorizer.set_accounts(two_accounts());
    BOOST_TEST(authorizer.authorize(true, key_digest::of("whatever"), start).granted());
    BOOST_TEST((authorizer.authorize(false, key_digest::of("whatever"), start).verdict == permission::unknown_key));
    BOOST_TEST((authorizer.authorize(false, key_digest::of("key-yard"), start).verdict == permission::lease_ended));
    authorizer.confirm_current(start);
    BOOST_TEST(authorizer.authorize(false, key_digest::of("key-yard"), start).account_name() == "yard");
}

// A decision must refer to the name stored in the account: a view of a temporary copy would dangle.
BOOST_AUTO_TEST_CASE(a_decision_refers_to_the_name_stored_in_the_account) {
    const std::string name(80, 'y');
    accounts::directory all;
    all.add({.name = name});
    all.add_key(key_digest::of("key"), name);
    accounts::authorizer authorizer;
    authorizer.set_accounts(all);
    const auto decision = authorizer.authorize(false, key_digest::of("key"), start);
    BOOST_TEST(decision.account_name().data() == decision.matched_account->name.data());
    BOOST_TEST(decision.account_name() == name);
}

// Exhaustive model check of two proxies, the store and one revoked key, over seven steps of 500 ms. In each step a
// proxy reads the store, receives the other's heartbeat, or nothing happens; a response shows the state at the time of
// its request. In no interleaving may a proxy accept the key at or after the bound.
BOOST_AUTO_TEST_CASE(no_interleaving_accepts_a_revoked_key_after_the_bound) {
    static constexpr std::chrono::milliseconds step{500};
    static constexpr std::chrono::milliseconds bound{2000};
    constexpr int step_count = 7;
    constexpr int actions = 5;
    struct proxy {
        std::uint64_t version{1};
        cluster::table_freshness state;
        accounts::configuration_lease lease{bound};
        void confirm_current() { lease.confirm_current(state.confirmed_current_at()); }
    };
    const auto read_store = [](proxy& one, std::uint64_t newest, boot_clock::time_point asked) {
        one.version = newest;
        one.state.mark_current(asked);
        one.confirm_current();
    };
    const auto receive_heartbeat = [](proxy& one, const proxy& other, boot_clock::time_point asked,
                                      boot_clock::time_point now) {
        if (other.state.confirmed_current_at() != boot_clock::time_point{}) {
            const auto age = asked - other.state.confirmed_current_at();
            one.state.note_peer_version(other.version, one.version, asked - age, now);
        }
        one.confirm_current();
    };
    int interleavings = 0;
    int ran_late = 0;
    int ran_in_time = 0;
    std::array<int, step_count> interleaving{};
    for (bool more = true; more;) {
        ++interleavings;
        proxy a;
        proxy b;
        read_store(a, 1, start);
        read_store(b, 1, start);
        const auto revoked_at = start + step / 2;
        for (int at = 0; at < step_count; ++at) {
            const auto asked = start + step * at;
            const auto now = asked + step - 1ms;
            const std::uint64_t newest = asked >= revoked_at ? 2 : 1;
            switch (interleaving.at(static_cast<std::size_t>(at))) {
            case 1:
                read_store(a, newest, asked);
                break;
            case 2:
                read_store(b, newest, asked);
                break;
            case 3:
                receive_heartbeat(a, b, asked, now);
                break;
            case 4:
                receive_heartbeat(b, a, asked, now);
                break;
            default:
                break;
            }
            for (const auto* one : {&a, &b}) {
                const bool runs = one->version == 1 && one->lease.is_valid(now);
                ran_late += runs && now >= revoked_at + bound ? 1 : 0;
                ran_in_time += runs && now < revoked_at + bound ? 1 : 0;
            }
        }
        std::size_t digit = 0;
        while (digit < interleaving.size() && ++interleaving.at(digit) == actions) {
            interleaving.at(digit++) = 0;
        }
        more = digit < interleaving.size();
    }
    BOOST_TEST(interleavings == 78125);
    BOOST_TEST(ran_late == 0);
    BOOST_TEST(ran_in_time > interleavings);
}

BOOST_AUTO_TEST_CASE(a_peer_snapshot_contains_accounts_but_no_keys) {
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

// An invented key must not give access to a service's data.
BOOST_AUTO_TEST_CASE(an_unknown_key_opens_no_session) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "made up"), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.refusals.size() == 1U);
    BOOST_TEST((caller.refusals.front().why == refusal::unknown_key));
    BOOST_TEST(!caller.accepted);
}

// A server attributes every statement to the account that its connection was opened for. A statement sent on another
// account's connection would be recorded under the wrong account.
BOOST_AUTO_TEST_CASE(each_statement_runs_on_a_connection_of_its_own_account) {
    proxy_with_accounts proxy;
    std::vector<caller_script> scripts;
    for (int i = 0; i < 12; ++i) {
        const std::string key = i % 2 == 0 ? "key-yard" : "key-shop";
        const auto id = key + std::to_string(i);
        scripts.push_back(
            {.events = {opening_with(i % 3 == 0 ? "fresh" : "strict", key), request(id, statement_kind::read, "1"),
                        request("b" + id, statement_kind::begin), request("w" + id, statement_kind::write, "1 x"),
                        request("c" + id, statement_kind::commit)}});
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

// The callers of one account keep all connections of a proxy busy. Without fairness the only session of another
// account starves until its deadline: each connection that becomes free belongs to the large account and goes to that
// account's next request.
BOOST_AUTO_TEST_CASE(a_small_account_is_not_starved_by_a_large_one) {
    proxy_with_accounts proxy;
    proxy.host.set_proxies(make_proxies(8));
    std::vector<caller_script> scripts(7);
    for (int i = 0; i < 6; ++i) {
        auto& events = scripts[static_cast<std::size_t>(i)].events;
        events.push_back(opening_with("strict", "key-yard"));
        for (int n = 0; n < 40; ++n) {
            events.push_back(request("y" + std::to_string(i) + "-" + std::to_string(n), statement_kind::read, "1"));
        }
    }
    scripts[6].events = {opening_with("strict", "key-shop"), request("s", statement_kind::read, "1")};
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

// After a power loss of all VMs the servers count the connections of the dead processes for another 3 s and refuse
// more. Connection owners that restart first must not take the remaining connections beyond their share, or the
// callers of the other owners are refused.
BOOST_AUTO_TEST_CASE(an_owner_keeps_to_its_share_of_a_full_server) {
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
                scripts[i].events.push_back(request(name + "-" + std::to_string(n), statement_kind::read, "1"));
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
        const auto shared =
            session::allocate_connections("stock", config.services.at("stock").max_connections, make_proxies(3));
        BOOST_TEST_REQUIRE(shared.connections_each_under_load > shared.connections_each);
        const auto most = static_cast<std::size_t>(primary.max_open);
        BOOST_TEST(most <= (full ? shared.connections_each : shared.connections_each_under_load));
        BOOST_TEST((full || most > shared.connections_each));
    }
}

// Revocation also applies to sessions that are already open: they must not run further requests.
BOOST_AUTO_TEST_CASE(a_revoked_key_ends_an_open_session) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::read, "1")}};
    caller.before[2] = [&] { proxy.host.update(without_key(3, "key-yard")); };
    caller_script other{.events = {opening_with("strict", "key-yard-2"), request("c", statement_kind::read, "1")}};
    proxy.play({&caller, &other});
    BOOST_TEST(caller.answers[0].ok());
    BOOST_TEST((why(caller, 1) == refusal::unknown_key));
    BOOST_TEST(proxy.server("p").of("b").empty());
    BOOST_TEST(caller.closed);
    // Another key of the same account is still accepted.
    BOOST_TEST(other.answers.at(0).ok());
}

// As above, inside a transaction: its writes must be rolled back.
BOOST_AUTO_TEST_CASE(a_revoked_key_rolls_back_an_open_transaction) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::begin),
                                    request("b", statement_kind::write, "1 x"), request("c", statement_kind::commit)}};
    caller.before[3] = [&] { proxy.host.update(without_key(3, "key-yard")); };
    proxy.play({&caller});
    BOOST_TEST(caller.answers.at(1).ok());
    BOOST_TEST((why(caller, 2) == refusal::aborted));
    BOOST_TEST(proxy.server("p").of("c").empty());
    BOOST_TEST(proxy.server("p").count(statement_kind::rollback) >= 1U);
}

// The key is revoked while its request is in the wait queue for a connection.
BOOST_AUTO_TEST_CASE(a_revoked_key_stops_a_request_in_the_wait_queue) {
    proxy_with_accounts proxy;
    for (const auto* id : {"p", "r1", "r2"}) {
        proxy.server(id).connect_fails = routing::connect_failure::too_many_connections;
    }
    caller_script caller{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::write, "1 x")}};
    proxy.later(25ms, [&] {
        proxy.host.update(without_key(3, "key-yard"));
        proxy.server("p").connect_fails.reset();
    });
    proxy.play_together({&caller}, [&] { proxy.host.tick(); });
    BOOST_TEST(!caller.answers.at(0).ok());
    BOOST_TEST(proxy.server("p").of("a").empty());
}

// A key is moved to another account while a session is open. Its next statements run under the new account, and a
// transaction that was opened under the old account is aborted.
BOOST_AUTO_TEST_CASE(a_moved_key_uses_no_connection_of_its_old_account) {
    proxy_with_accounts proxy;
    auto moved = without_key(3, "key-yard");
    moved.accounts.add_key(key_digest::of("key-yard"), "shop");
    caller_script alone{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::read, "1"),
                                   request("b", statement_kind::read, "1")}};
    caller_script inside{.events = {opening_with("strict", "key-yard"), request("d", statement_kind::begin),
                                    request("e", statement_kind::write, "1 x"),
                                    request("f", statement_kind::write, "1 y")}};
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

// A proxy is partitioned from the store and from its peers. Requests of accounts are refused before the bound, with the
// guarantee that nothing was executed; requests to databases that need no key continue.
BOOST_AUTO_TEST_CASE(without_a_valid_lease_no_request_of_an_account_runs) {
    proxy_in_memory proxy{proxy_in_memory::unconfigured{}};
    session::traffic<fake_connector> host{proxy.io.get_executor(), proxy.connector, "a", "here",
                                          accounts::configuration_lease{400ms}};
    proxy.connector.servers["p"].is_primary = true;
    host.update(with_accounts(2));
    host.update(three_servers());
    host.set_proxies(make_proxies(3));
    host.confirm_configuration(boot_clock::now());
    caller_script caller{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::read, "1"),
                                    request("b", statement_kind::write, "1 x"),
                                    request("c", statement_kind::write, "1 x")}};
    caller_script keyless{.events = {opening_with("open", "nobody"), request("d", statement_kind::read, "1")}};
    caller.before[2] = [&] { host.confirm_configuration(boot_clock::now() - 1s); };
    caller.before[3] = [&] { host.confirm_configuration(boot_clock::now()); };
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

// A proxy that has not learnt of a revocation yet relays a session to a connection owner. The owner must check the key
// against its own copy of the configuration.
BOOST_AUTO_TEST_CASE(an_owner_checks_relayed_keys_against_its_own_configuration) {
    proxy_with_accounts proxy;
    caller_script relayed{
        .events = {session::session_opening{
                       .database = "strict", .relayed = true, .key = key_digest::of("key-yard"), .config_version = 2},
                   request("a", statement_kind::read, "1"), request("b", statement_kind::read, "1")}};
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

// An operator adds a key. The proxy that the client connects to has the new configuration; the owner that the session
// is relayed to receives it a moment later, and must wait for it instead of refusing the key.
BOOST_AUTO_TEST_CASE(an_owner_waits_for_the_configuration_of_a_relayed_key) {
    proxy_with_accounts proxy;
    auto newer = with_accounts(3);
    newer.accounts.add_key(key_digest::of("new"), "yard");
    caller_script relayed{
        .events = {session::session_opening{
                       .database = "strict", .relayed = true, .key = key_digest::of("new"), .config_version = 3},
                   request("a", statement_kind::read, "1")}};
    proxy.later(60ms, [&] { proxy.host.update(newer); });
    proxy.play({&relayed});
    BOOST_TEST(relayed.answers.at(0).ok());
}

BOOST_AUTO_TEST_CASE(request_priority_precedes_account_priority) {
    BOOST_TEST(routing::priority_of(0, routing::lowest_priority) < routing::priority_of(1, 0));
    BOOST_TEST(routing::priority_of(1, 0) < routing::priority_of(1, 1));
}

// Searches everything that a proxy exposes, its state and metrics, for known keys.
BOOST_AUTO_TEST_CASE(no_key_appears_in_state_or_metrics) {
    proxy_with_accounts proxy;
    caller_script caller{.events = {opening_with("strict", "key-yard"), request("a", statement_kind::read, "1")}};
    proxy.play({&caller});
    metrics::exposition page;
    session::expose(proxy.host, page);
    const auto output = session::describe(proxy.host).toStyledString() + page.text();
    for (const auto* key : {"key-yard", "key-yard-2", "key-shop"}) {
        BOOST_TEST(output.find(key) == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
