#include <boost/test/unit_test.hpp>

#include "proxy_in_memory.hpp"

using namespace cornellever;
using namespace cornellever::test;
using namespace std::chrono_literals;
using sql::statement_kind;

namespace {

/// A proxy near a replica. Its last sample is 4.612, and its primary has committed 5.613 since, which no replica has
/// applied.
struct proxy_of_previous_term : proxy_in_memory {
    proxy_of_previous_term() {
        auto servers = three_servers();
        servers.version = 2;
        servers.servers.at("p").data_center = "there";
        host.update(servers);
        for (const auto* id : {"p", "r1", "r2"}) {
            server(id).position = {4, 612};
        }
        caller_script before{.events = {opening("fresh"), request("a", statement_kind::read, "1")}};
        play({&before});
        run_for(100ms);
        server("p").position = {5, 613};
    }

    /// A session that a peer relays after the session's commit 5.613.
    [[nodiscard]] static session::caller_event relayed_session() {
        return session::session_opening{.database = "own", .relayed = true, .last_commit = sql::log_position{5, 613}};
    }
};

/// A proxy whose primary `p` has reported 4.612. `promote` replaces it by `r1`, whose log ends at 4.610.
struct proxy_before_lossy_promotion : proxy_in_memory {
    decltype(host.pool_for("stock")) pool{host.pool_for("stock")};

    proxy_before_lossy_promotion() {
        auto config = three_databases(2);
        config.routes.at("fresh").max_staleness = 300ms;
        host.update(config);
        server("p").position = {4, 612};
        server("r1").position = server("r2").position = {4, 610};
        caller_script before{.events = {opening("strict"), request("a", statement_kind::read, "1")}};
        play({&before});
    }

    void promote() {
        server("p").is_primary = false;
        server("p").position = {4, 610};
        server("r1").is_primary = true;
        pool.accept_peer_confirmation("r1", boot_clock::now());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(reads_after_promotion)

// Guards against a relayed session that reads without its own commit at a peer that does not know the commit's term.
BOOST_AUTO_TEST_CASE(relayed_session_reads_its_commit_at_a_peer_that_does_not_know_the_term) {
    proxy_of_previous_term proxy;
    caller_script caller{.events = {proxy.relayed_session(), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.back().ok());
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

// Guards against a read-only transaction that begins on a log without the session's own commit.
BOOST_AUTO_TEST_CASE(relayed_transaction_reads_its_sessions_commit) {
    proxy_of_previous_term proxy;
    caller_script caller{.events = {proxy.relayed_session(), request("b", statement_kind::begin_read_only),
                                    request("r", statement_kind::read, "1"), request("c", statement_kind::commit)}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST(caller.answers.at(1).ok());
    BOOST_TEST(proxy.server("p").of("r").size() == 1U);
}

// Guards against reads that all wait for a sample and then go to the primary, until the next commit, after a promotion
// that rolled back commits: the new primary's position was taken for an outdated one.
BOOST_AUTO_TEST_CASE(replicas_serve_reads_after_a_promotion_that_rolled_back_commits) {
    proxy_before_lossy_promotion proxy;
    proxy.promote();
    proxy.run_for(500ms);
    caller_script caller{.events = {opening("fresh"), request("r", statement_kind::read, "1")}};
    proxy.play({&caller});
    BOOST_TEST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST(caller.answers.back().ok());
    BOOST_TEST(proxy.server("r1").of("r").empty());
}

// Guards against a session that reads without its own commit after the route of its database was moved to another
// service and back, and against reads at a service that wait for a position of another service.
BOOST_AUTO_TEST_CASE(a_session_keeps_its_position_at_each_service) {
    for (const bool relayed : {false, true}) {
        for (const bool transaction : {false, true}) {
            proxy_in_memory proxy;
            auto servers = three_servers();
            servers.version = 2;
            // Reads that a replica may serve run at a replica of this data centre.
            servers.servers.at("p").data_center = "there";
            for (const auto* id : {"w", "w1"}) {
                auto server = servers.servers.at(std::string{id} == "w" ? "p" : "r1");
                server.id = id;
                server.service = "workshop";
                servers.servers.emplace(id, server);
            }
            proxy.host.update(servers);
            proxy.server("w").is_primary = true;
            for (const auto* id : {"p", "r1", "r2"}) {
                proxy.server(id).position = {4, 612};
            }
            caller_script before{.events = {opening("fresh"), request("f", statement_kind::read, "1")}};
            proxy.play({&before});
            proxy.run_for(100ms);
            std::uint64_t version = 1;
            const auto move_route = [&](const char* service) {
                auto config = three_databases(++version);
                config.services.emplace("workshop", routing::service_limits{"workshop", 16, 0});
                for (auto& [name, route] : config.routes) {
                    route.service = service;
                }
                proxy.host.update(config);
            };
            auto first = opening("own");
            std::get<session::session_opening>(first).relayed = relayed;
            caller_script caller{.events = {first, request("a", statement_kind::write, "1 x")}};
            const auto add = [&](std::vector<session::caller_event> events) {
                caller.events.insert(caller.events.end(), events.begin(), events.end());
            };
            caller.before[2] = [&] {
                BOOST_TEST(proxy.server("p").of("a").size() == 1U);
                move_route("workshop");
            };
            if (transaction) {
                add({request("b", statement_kind::begin), request("w", statement_kind::write, "1 x"),
                     request("c", statement_kind::commit)});
            } else {
                add({request("w", statement_kind::write, "1 x")});
            }
            const auto after_second = caller.events.size();
            add({request("there", statement_kind::read, "1"), request("back", statement_kind::read, "1")});
            caller.before[after_second + 1] = [&] { move_route("stock"); };
            const auto requests = caller.events.size() - 1;
            proxy.play({&caller});
            BOOST_TEST(caller.answers.size() == requests);
            for (const auto& answer : caller.answers) {
                BOOST_TEST(answer.ok(), answer.error_text());
            }
            BOOST_TEST(proxy.server("p").of("back").size() == 1U);
            BOOST_TEST(proxy.server("w").of("there").size() + proxy.server("w1").of("there").size() == 1U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
