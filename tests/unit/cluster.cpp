#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <set>

#include "cornellever/cluster/judged_services.hpp"
#include "cornellever/cluster/membership.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/cluster/registry_cache.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/cluster/store_watch.hpp"
#include "cornellever/cluster/table_follower.hpp"
#include "cornellever/core/daemon.hpp"
#include "fake_link.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using cluster::primary_evidence;
using cluster::primary_verdict;
using cluster::primary_view;

namespace {

const boot_clock::time_point start{std::chrono::hours{1}};

constexpr primary_view answering{50ms, false, false};
constexpr primary_view silent{900ms, true, false};
constexpr primary_view refused{200ms, true, true};

primary_verdict judge(std::optional<primary_view> own, std::vector<primary_view> peers, std::size_t known = 2) {
    primary_evidence evidence;
    evidence.own = own;
    evidence.peers = peers;
    evidence.known_peers = known;
    return cluster::judge(evidence);
}

/// A store that gives the replies queued by a test.
struct scripted_store {
    std::deque<result<cluster::store_rows>> lists;
    std::deque<result<cluster::store_rows>> feeds;
    std::vector<std::uint64_t> asked_after;
    event_loop& io;

    asio::awaitable<result<cluster::store_rows>> list(std::string) { return next(lists); }
    asio::awaitable<result<cluster::store_rows>> changes(std::string, std::uint64_t after, std::chrono::milliseconds) {
        asked_after.push_back(after);
        return next(feeds);
    }
    asio::awaitable<result<cluster::store_rows>> next(std::deque<result<cluster::store_rows>>& from) {
        if (from.empty()) {
            io.stop();
            co_await sleep_for(1h);
        }
        auto out = from.front();
        from.pop_front();
        co_return out;
    }
    asio::awaitable<result<cluster::store_row>> read(std::string, std::string) { co_return cluster::store_row{}; }
    asio::awaitable<result<std::uint64_t>> write_if(std::string, std::string, std::string, std::uint64_t) {
        co_return 0;
    }
    asio::awaitable<result<std::uint64_t>> write(std::string, std::string, std::string) { co_return 0; }
    asio::awaitable<result<std::uint64_t>> remove(std::string, std::string) { co_return 0; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(primary_failure_detection)

BOOST_AUTO_TEST_CASE(a_primary_that_answers_is_fine) {
    BOOST_TEST((judge(answering, {answering, answering}) == primary_verdict::fine));
}

// Guards against promoting a lagging replica because one proxy cannot reach a healthy primary,
// which loses the commits of the last seconds.
BOOST_AUTO_TEST_CASE(a_primary_unreachable_only_from_this_proxy_is_not_replaced) {
    BOOST_TEST((judge(silent, {answering, silent}) == primary_verdict::fine));
    BOOST_TEST((judge(refused, {answering, refused}) == primary_verdict::fine));
}

BOOST_AUTO_TEST_CASE(a_primary_unreachable_from_all_proxies_is_lost) {
    BOOST_TEST((judge(silent, {silent, silent}) == primary_verdict::lost));
    BOOST_TEST((judge(refused, {refused, silent}) == primary_verdict::lost));
}

BOOST_AUTO_TEST_CASE(a_short_silence_is_no_evidence) {
    BOOST_TEST((judge(primary_view{300ms, true, false}, {silent, silent}) == primary_verdict::fine));
}

// Guards against a promotion by a proxy that is cut off from the primary and from all other
// proxies.
BOOST_AUTO_TEST_CASE(a_proxy_without_live_peers_waits_longer) {
    BOOST_TEST((judge(silent, {}) == primary_verdict::fine));
    BOOST_TEST((judge(primary_view{2600ms, true, false}, {}) == primary_verdict::lost));
    BOOST_TEST((judge(silent, {}, 0) == primary_verdict::lost));
}

// Guards against an empty primary that is kept because most proxies know no earlier position of it.
BOOST_AUTO_TEST_CASE(a_primary_that_lost_its_log_is_lost_even_if_others_reach_it) {
    const primary_view without_log{10ms, true, true, true};
    BOOST_TEST((judge(without_log, {answering, answering, answering}) == primary_verdict::lost));
    BOOST_TEST((judge(answering, {without_log, answering}) == primary_verdict::fine));
}

BOOST_AUTO_TEST_CASE(a_draining_primary_is_replaced_while_it_serves) {
    primary_evidence evidence;
    evidence.own = answering;
    evidence.entry.draining = true;
    BOOST_TEST((cluster::judge(evidence) == primary_verdict::leaving));
}

// Guards against dropping a healthy primary whose entry expired because it could not reach the
// store for some seconds: nobody could write.
BOOST_AUTO_TEST_CASE(a_primary_without_entry_is_replaced_only_after_a_grace_period) {
    primary_evidence evidence;
    evidence.own = answering;
    evidence.entry.missing_for = 1000ms;
    BOOST_TEST((cluster::judge(evidence) == primary_verdict::fine));
    evidence.entry.missing_for = 2700ms;
    BOOST_TEST((cluster::judge(evidence) == primary_verdict::leaving));
    evidence.own = silent;
    evidence.entry.missing_for = 400ms;
    BOOST_TEST((cluster::judge(evidence) == primary_verdict::lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(a_message_round_trips) {
    cluster::peer_message message{.what = cluster::peer_message::kind::answer,
                                  .nonce = 5,
                                  .cluster = 77,
                                  .sender = "proxy-1",
                                  .incarnation = 9,
                                  .config_version = 7,
                                  .registry_version = 11,
                                  .config_age = 120ms,
                                  .store_reachable = false};
    message.primaries.push_back({.service = "stock",
                                 .primary = "p",
                                 .leadership_confirmed_age = 12ms,
                                 .last_answer_age = 3ms,
                                 .unreachable = true,
                                 .refused = true,
                                 .sample = cluster::aged_sample{8ms, {2, 66}}});
    message.primaries.push_back({.service = "other"});
    message.primaries.push_back({.service = "emptied",
                                 .primary = "q",
                                 .log_lost = true,
                                 .sample = cluster::aged_sample{8ms, {2, 66}},
                                 .highest_position = sql::log_position{2, 70}});
    message.primaries.push_back({.service = "usual",
                                 .primary = "r",
                                 .sample = cluster::aged_sample{8ms, {2, 66}},
                                 .highest_position = sql::log_position{2, 66}});
    message.alive_peers.push_back({"proxy-2", 40ms});
    const auto back = cluster::decode(cluster::encode(message));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(back->sender == "proxy-1");
    BOOST_TEST(!back->store_reachable);
    BOOST_TEST((back->config_age == 120ms));
    BOOST_TEST(!back->registry_age.has_value());
    BOOST_TEST_REQUIRE(back->primaries.size() == 4U);
    BOOST_TEST(back->primaries[0].refused);
    BOOST_TEST(!back->primaries[0].log_lost);
    BOOST_TEST(!back->primaries[0].highest_position.has_value());
    BOOST_TEST(back->primaries[2].log_lost);
    BOOST_TEST((back->primaries[2].highest_position == sql::log_position{2, 70}));
    BOOST_TEST((back->primaries[3].highest_position == sql::log_position{2, 66}));
    BOOST_TEST((back->primaries[0].sample->position == sql::log_position{2, 66}));
    BOOST_TEST(back->primaries[1].primary.empty());
    BOOST_TEST(back->cluster == 77U);
    BOOST_TEST_REQUIRE(back->alive_peers.size() == 1U);
    BOOST_TEST(back->alive_peers[0].name == "proxy-2");
    BOOST_TEST((back->alive_peers[0].age == 40ms));
}

// Guards against judging a primary lost although proxies reach it, because a question without
// reports was read as a report that its sender observes no primary.
BOOST_AUTO_TEST_CASE(a_question_without_reports_keeps_earlier_reports) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    peer_message answer{.what = peer_message::kind::answer, .sender = "a", .incarnation = 1};
    answer.primaries.push_back({.service = "stock", .primary = "p"});
    members.record_message(answer, where, start, start);
    peer_message question{.sender = "a", .incarnation = 1, .has_reports = false};
    const auto back = decode(encode(question));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(!back->has_reports);
    members.record_message(*back, where, start + 1s, start + 1s);
    BOOST_TEST(members.peers().at("a").primaries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected) {
    for (const auto* bytes :
         {"", "cl4", "cl2 q 1 7 a d 1 1 1 - - 1", "cl4 x 1 7 a d 1 1 1 - - 1", "cl4 q one 7 a d 1 1 1 - - 1",
          "cl4 q 1 seven a d 1 1 1 - - 1", "cl4 q 1 7 a d 1 1 1 1", "cl4 q 1 7 a d 1 1 1 soon - 1",
          "cl4 q 1 7 a d 1 1 1 - - 1 stock p 1", "cl4 q 1 7 a d 1 1 1 - - 1 stock p 1 1 .s 5 1",
          "cl4 q 1 7 a d 1 1 1 - - 1 stock p 1 1 .f 5", "cl4 q 1 7 a d 1 1 1 - - 1 /", "cl4 q 1 7 a d 1 1 1 - - 1 / b",
          "cl4 q 1 7 a d 1 1 1 - - 1 / b soon"}) {
        BOOST_TEST(!cluster::decode(bytes), bytes);
    }
    BOOST_TEST(cluster::decode("cl4 q 1 7 a d 1 1 1 - 5 1").has_value());
}

BOOST_AUTO_TEST_CASE(a_proxy_is_discovered_by_heartbeat_and_removed_when_unresponsive) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.add_peer("a", "here", where, start);
    BOOST_TEST(members.proxy_count() == 2U);
    BOOST_TEST(members.eligible(start).size() == 1U);
    peer_message message{.sender = "a", .incarnation = 1};
    BOOST_TEST(members.record_message(message, where, start, start));
    BOOST_TEST(!members.record_message(message, where, start + 100ms, start));
    BOOST_TEST((members.eligible(start + 200ms) == std::vector<std::string>{"a", "b"}));
    // A proxy that the store does not answer cannot claim a promotion.
    message.store_reachable = false;
    members.record_message(message, where, start + 300ms, start);
    BOOST_TEST(members.eligible(start + 400ms).size() == 1U);
    members.record_sent({{where}}, start + 1s);
    BOOST_TEST(members.remove_unresponsive(start + 5s).empty());
    BOOST_TEST(members.remove_unresponsive(start + 10s).size() == 1U);
    BOOST_TEST(members.proxy_count() == 1U);
}

// Guards against taking healthy proxies for dead, and redistributing connections each time, in
// large clusters: of 64 proxies, any two exchange messages only every few seconds.
BOOST_AUTO_TEST_CASE(a_proxy_is_alive_by_gossip) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.add_peer("a", "here", where, start);
    members.record_alive({"a", 300ms}, start + 5s);
    members.record_alive({"nobody", 0ms}, start + 5s);
    BOOST_TEST((members.eligible(start + 6s) == std::vector<std::string>{"a", "b"}));
    BOOST_TEST(members.eligible(start + 7s).size() == 1U);
    members.record_sent({{where}}, start + 6s);
    BOOST_TEST(members.remove_unresponsive(start + 12s).empty());
    BOOST_TEST(members.remove_unresponsive(start + 13s).size() == 1U);
    BOOST_TEST(members.proxy_count() == 1U);
}

// Guards against removing healthy proxies, which moves callers' sessions to other connection
// owners: with 195 proxies, gossip on one reaches another every few seconds only, and sometimes
// later than 8 s, so silence alone is no evidence.
BOOST_AUTO_TEST_CASE(a_proxy_is_removed_only_after_an_unanswered_question) {
    using namespace cornellever::cluster;
    membership members{"self"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.record_message({.sender = "a", .incarnation = 1}, where, start, start);
    BOOST_TEST(members.remove_unresponsive(start + 20s).empty());
    BOOST_TEST(membership::is_presumed_alive(members.peers().at("a"), start + 5s));
    members.record_sent({{where}}, start + 20s);
    BOOST_TEST(members.remove_unresponsive(start + 20s + 500ms).empty());
    members.record_message({.sender = "a", .incarnation = 1}, where, start + 20s + 600ms, start + 20s);
    BOOST_TEST(members.remove_unresponsive(start + 30s).empty());
    members.record_sent({{where}}, start + 30s);
    BOOST_TEST(!membership::is_presumed_alive(members.peers().at("a"), start + 31s + 1ms));
    BOOST_TEST(members.remove_unresponsive(start + 31s + 1ms).size() == 1U);
}

// As above: a proxy that nothing was heard of for 4 s is asked directly, a few at a time.
BOOST_AUTO_TEST_CASE(suspects_are_asked) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 100; ++i) {
        members.record_message({.sender = "p" + std::to_string(i), .incarnation = 1},
                               {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)},
                               start + (i < 5 ? 0s : 4s), start);
    }
    const auto targets = members.select_targets({}, {}, "here", 12, start + 4s + 500ms, random);
    BOOST_TEST(std::ranges::count_if(targets.gossip_peers, [](const auto& item) { return item.port() < 7005; }) == 5);
    const auto all = members.select_targets({}, {}, "here", 12, start + 9s, random);
    BOOST_TEST(all.gossip_peers.size() == 2U + membership::max_suspects_asked);
}

// Guards against judging a primary by the reports of a process that has been replaced since: its
// datagram was still in the network when the next process started.
BOOST_AUTO_TEST_CASE(a_late_message_of_a_previous_process_is_ignored) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    peer_message old{.sender = "a", .incarnation = 1};
    old.primaries.push_back({.service = "stock", .primary = "p"});
    BOOST_TEST(members.record_message(old, where, start, start));
    BOOST_TEST(members.record_message({.sender = "a", .incarnation = 2}, where, start + 1s, start + 1s));
    BOOST_TEST(!members.record_message(old, where, start + 2s, start + 2s));
    BOOST_TEST(members.peers().at("a").incarnation == 2U);
    BOOST_TEST(members.peers().at("a").primaries.empty());
}

BOOST_AUTO_TEST_CASE(peers_that_use_the_same_services_are_asked_first) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 40; ++i) {
        peer_message message{.sender = "p" + std::to_string(i), .incarnation = 1};
        message.primaries.push_back({.service = i < 4 ? "stock" : "other", .primary = "p"});
        message.data_center = i == 30 ? "here" : "there";
        members.record_message(message, {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)},
                               start, start);
    }
    const asio::ip::udp::endpoint near{asio::ip::make_address("10.0.0.1"), 7030};
    const asio::ip::udp::endpoint silent{asio::ip::make_address("10.0.0.1"), 7020};
    for (int i = 0; i < 40; ++i) {
        if (i != 20) {
            members.record_alive({"p" + std::to_string(i), 0ms}, start + 500ms);
        }
    }
    const auto targets = members.select_targets({"stock"}, {}, "here", 12, start + 500ms, random);
    BOOST_TEST(std::ranges::count(targets.gossip_peers, silent) == 1);
    BOOST_TEST(targets.service_peers.size() == 4U);
    BOOST_TEST(std::ranges::all_of(targets.service_peers, [](const auto& item) { return item.port() < 7004; }));
    BOOST_TEST(targets.gossip_peers.size() == 3U);
    BOOST_TEST(std::ranges::count(targets.gossip_peers, near) == 1);
    // The cluster is small enough to ask all proxies, so no gossip is needed.
    const auto all = members.select_targets({"stock"}, {}, "here", 40, start + 500ms, random);
    BOOST_TEST(all.service_peers.size() == 40U);
    BOOST_TEST(all.gossip_peers.empty());
    BOOST_TEST(members.sample_alive(6, start + 1s, random).size() == 6U);
    BOOST_TEST(members.sample_alive(6, start + 4s, random).empty());
}

// Guards against stale reads after a network partition that leaves the primary with some proxies,
// which go on writing there. If the others discovered only by chance who uses the same service,
// they knew too few of those proxies, agreed that the primary was lost and promoted a replica.
BOOST_AUTO_TEST_CASE(connection_owners_are_asked_before_their_first_report) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 40; ++i) {
        members.add_peer("p" + std::to_string(i), "there",
                         {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)}, start);
    }
    const auto targets = members.select_targets({"stock"}, {"p1", "p2", "p3", "self"}, "here", 12, start, random);
    BOOST_TEST(targets.service_peers.size() == 3U);
    BOOST_TEST(std::ranges::all_of(targets.service_peers, [](const auto& item) { return item.port() < 7004; }));
}

// Guards against sending a proxy what it already has.
BOOST_AUTO_TEST_CASE(a_snapshot_leaves_out_what_the_requester_has) {
    const auto config = cluster::pack(test::three_databases(4));
    auto servers = test::three_servers();
    for (auto& [id, server] : servers.servers) {
        BOOST_TEST_REQUIRE(parse_endpoint("10.0.0.7:80", server.address));
    }
    servers.version = 9;
    const auto listed = cluster::pack(servers);
    const auto newer_config = cluster::snapshot_from_json(cluster::snapshot_of(config, listed, {3, 9})).value();
    BOOST_TEST(newer_config.config.version == 4U);
    BOOST_TEST(newer_config.servers.version == 0U);
    BOOST_TEST(newer_config.packed_config.text.base64 == config.text.base64);
    const auto newer_servers = cluster::snapshot_from_json(cluster::snapshot_of(config, listed, {4, 8})).value();
    BOOST_TEST(newer_servers.config.version == 0U);
    BOOST_TEST(newer_servers.servers.version == 9U);
    BOOST_TEST(newer_servers.servers.servers.size() == 3U);
    auto corrupted = cluster::snapshot_of(config, listed, {});
    corrupted["registry"]["packed"] = "x";
    BOOST_TEST(!cluster::snapshot_from_json(corrupted));
}

BOOST_AUTO_TEST_CASE(a_snapshot_round_trips) {
    const auto config = test::three_databases(4);
    auto servers = test::three_servers();
    servers.servers["p"].draining = true;
    for (auto& [id, server] : servers.servers) {
        BOOST_TEST_REQUIRE(parse_endpoint("10.0.0.7:80", server.address));
    }
    const auto back =
        cluster::snapshot_from_json(cluster::snapshot_of(cluster::pack(config), cluster::pack(servers), {}));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(back->config.version == 4U);
    BOOST_TEST((back->config.routes.at("own").reads == routing::consistency::read_your_writes));
    BOOST_TEST((back->config.routes.at("own").max_staleness == 1500ms));
    BOOST_TEST(back->servers.servers.at("p").draining);
    BOOST_TEST((back->servers.servers.at("p").role == routing::server_role::primary));
    BOOST_TEST(!cluster::snapshot_from_json(Json::Value{3}));
    const auto known =
        cluster::snapshot_from_json(cluster::snapshot_of(cluster::pack(config), cluster::pack(servers), {.config = 4}));
    BOOST_TEST_REQUIRE(known.has_value());
    BOOST_TEST(known->config.routes.empty());
    BOOST_TEST(known->servers.servers.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(following_the_store)

// Guards against refusing all requests for seconds after an outage of the store, because the
// entries of healthy servers expired meanwhile.
BOOST_AUTO_TEST_CASE(servers_whose_entry_expired_are_kept_for_a_grace_period) {
    cluster::registry_cache cache;
    cache.apply(test::three_servers(), start);
    auto fewer = test::three_servers();
    fewer.servers.erase("r1");
    cache.apply(fewer, start + 1s);
    BOOST_TEST(cache.effective().servers.contains("r1"));
    BOOST_TEST((cache.missing_for("r1", start + 2s) == 1000ms));
    BOOST_TEST(!cache.missing_for("p", start + 2s));
    cache.apply(test::three_servers(), start + 3s);
    BOOST_TEST(!cache.missing_for("r1", start + 3s));
    cache.apply(fewer, start + 4s);
    BOOST_TEST(!cache.expire(start + 8s));
    BOOST_TEST(cache.expire(start + 9s));
    BOOST_TEST(!cache.effective().servers.contains("r1"));
    // A server that is gone is reported once; each report passes all servers to the traffic thread.
    BOOST_TEST(!cache.expire(start + 10s));
}

BOOST_AUTO_TEST_CASE(a_drained_server_is_removed_at_once) {
    cluster::registry_cache cache;
    auto servers = test::three_servers();
    servers.servers["r1"].draining = true;
    cache.apply(servers, start);
    servers.servers.erase("r1");
    cache.apply(servers, start + 1s);
    BOOST_TEST(!cache.effective().servers.contains("r1"));
}

// Guards against judging a service by servers that are gone, or without those that were added.
BOOST_AUTO_TEST_CASE(servers_are_grouped_by_service) {
    routing::registry registered;
    registered.version = 1;
    registered.servers.emplace("a1", routing::backend_server{.id = "a1", .service = "a"});
    registered.servers.emplace("a2", routing::backend_server{.id = "a2", .service = "a"});
    registered.servers.emplace("b1", routing::backend_server{.id = "b1", .service = "b"});
    cluster::registry_cache cache;
    cache.apply(registered, start);
    BOOST_TEST(cache.by_service().size() == 2U);
    BOOST_TEST(cache.by_service().at("a").size() == 2U);
    registered.version = 2;
    registered.servers.erase("a2");
    registered.servers.emplace("c1", routing::backend_server{.id = "c1", .service = "c"});
    cache.apply(registered, start + 1s);
    BOOST_TEST(cache.by_service().at("a").size() == 2U);
    BOOST_TEST(cache.by_service().at("c").front()->id == "c1");
    BOOST_TEST(cache.expire(start + 10s));
    BOOST_TEST(cache.by_service().at("a").size() == 1U);
    BOOST_TEST(cache.by_service().at("a").front()->id == "a1");
}

// Guards against work that grows with all services: each proxy judged the primary of every service
// ten times a second, whether it used the service or not.
BOOST_AUTO_TEST_CASE(only_used_or_unsettled_services_are_judged) {
    routing::registry registered;
    registered.version = 1;
    for (int i = 0; i < 300; ++i) {
        const auto service = "s" + std::to_string(i);
        for (const auto* suffix : {"p", "r"}) {
            const auto id = service + suffix;
            routing::backend_server server{.id = id, .service = service};
            server.role = *suffix == 'p' ? routing::server_role::primary : routing::server_role::replica;
            registered.servers.emplace(id, server);
        }
    }
    cluster::registry_cache cache;
    cache.apply(registered, start);
    const std::map<std::string, int, std::less<>> used{{"s7", 0}};
    const auto judged = [&](bool stands_by) {
        return cluster::judged_services(used, cache.unsettled_services(),
                                        [&](const std::string&) { return stands_by; });
    };
    BOOST_TEST(judged(true) == std::vector<std::string_view>{"s7"}, boost::test_tools::per_element());
    registered.version = 2;
    registered.servers.at("s1p").draining = true;
    registered.servers.erase("s2p");
    registered.servers.at("s3p").role = routing::server_role::replica;
    cache.apply(registered, start + 1s);
    const std::vector<std::string_view> expected{"s7", "s1", "s2", "s3"};
    BOOST_TEST(judged(true) == expected, boost::test_tools::per_element());
    BOOST_TEST(judged(false) == std::vector<std::string_view>{"s7"}, boost::test_tools::per_element());
}

// Guards against a second promotion by a proxy that does not use the service and starts to judge it
// between the old primary's demotion and the registration of the new one.
BOOST_AUTO_TEST_CASE(a_service_is_leaderless_from_the_change_of_the_registry) {
    auto servers = test::three_servers();
    const auto service = servers.servers.at("p").service;
    cluster::registry_cache cache;
    cache.apply(servers, start);
    BOOST_TEST(!cache.leaderless_since(service));
    servers.version += 1;
    servers.servers.at("p").role = routing::server_role::replica;
    cache.apply(servers, start + 60s);
    BOOST_TEST((cache.leaderless_since(service) == start + 60s));
    servers.version += 1;
    servers.servers.at("r1").role = routing::server_role::primary;
    cache.apply(servers, start + 61s);
    BOOST_TEST(!cache.leaderless_since(service));
}

// Guards against keeping a superseded configuration because the store discarded the change history
// that contained the newer one.
BOOST_AUTO_TEST_CASE(the_whole_table_is_read_again_when_its_history_is_gone) {
    event_loop io;
    scripted_store store{.io = io};
    store.lists.push_back(cluster::store_rows{{{"a", "1", 3, false}, {"b", "1", 4, false}}, 4, 0ms});
    store.feeds.push_back(cluster::store_rows{{{"a", "2", 5, false}}, 5, 0ms});
    store.feeds.push_back(fail(errc::unavailable, "down"));
    store.feeds.push_back(fail(errc::behind, "gone"));
    store.lists.push_back(cluster::store_rows{{{"a", "3", 9, false}}, 9, 0ms});
    std::vector<std::pair<std::size_t, std::string>> received_rows;
    cluster::table_follower follower{store, "t",
                                     [] {
                                         return cluster::watch_mode{true, 10ms};
                                     },
                                     [&](const cluster::table_rows& rows, std::uint64_t) {
                                         received_rows.emplace_back(rows.size(), rows.at("a").value);
                                         return true;
                                     }};
    asio::co_spawn(io, follower.run(), asio::detached);
    io.run();
    BOOST_TEST_REQUIRE(received_rows.size() == 3U);
    BOOST_TEST(received_rows[1].first == 2U);
    BOOST_TEST(received_rows[1].second == "2");
    BOOST_TEST(received_rows[2].first == 1U);
    BOOST_TEST(received_rows[2].second == "3");
    BOOST_TEST((store.asked_after == std::vector<std::uint64_t>{4, 5, 5, 9}));
    io.destroy_suspended_coroutines();
}

// Guards against too many store calls: with 64 proxies that all polled, each change of one server
// took 64 calls, and the store answers a limited number a second from all of them.
BOOST_AUTO_TEST_CASE(few_proxies_of_a_large_cluster_poll_the_store) {
    using namespace cornellever::cluster;
    constexpr watch_policy plan{.first = 1s, .small_cluster = 8s, .large_cluster = 12s, .max_readers = 4};
    BOOST_TEST((watch_mode_for(plan, 0, 64).polls_store && watch_mode_for(plan, 0, 64).confirm_within == 1s));
    BOOST_TEST((watch_mode_for(plan, 3, 64).polls_store && watch_mode_for(plan, 3, 64).confirm_within == 12s));
    BOOST_TEST(!watch_mode_for(plan, 4, 64).polls_store);
    BOOST_TEST((watch_mode_for(plan, 4, 7).polls_store && watch_mode_for(plan, 4, 7).confirm_within == 8s));
    const std::vector<std::string> eligible{"a", "b", "c", "d", "e"};
    std::set<std::size_t> ranks;
    for (const auto& name : eligible) {
        ranks.insert(watch_rank("servers", name, eligible));
    }
    BOOST_TEST(ranks.size() == eligible.size());
}

// Guards against missing server changes once all peers are gone: the proxy read the table once and
// relied on them for changes.
BOOST_AUTO_TEST_CASE(a_proxy_that_relied_on_peers_reads_the_table_once_it_has_to_poll) {
    event_loop io;
    scripted_store store{.io = io};
    store.lists.push_back(cluster::store_rows{{{"a", "1", 3, false}}, 8, 0ms});
    store.feeds.push_back(cluster::store_rows{{{"a", "2", 9, false}}, 9, 0ms});
    bool has_to_poll = false;
    std::vector<std::uint64_t> versions;
    cluster::table_follower follower{store, "t",
                                     [&] {
                                         return cluster::watch_mode{std::exchange(has_to_poll, true), 1h};
                                     },
                                     [&](const cluster::table_rows&, std::uint64_t version) {
                                         versions.push_back(version);
                                         return true;
                                     }};
    asio::co_spawn(io, follower.run(), asio::detached);
    io.run();
    // The version of the last change, not that of the store.
    BOOST_TEST((versions == std::vector<std::uint64_t>{3, 9}));
    BOOST_TEST(store.asked_after.front() == 8U);
    io.destroy_suspended_coroutines();
}

BOOST_AUTO_TEST_SUITE_END()
