#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <set>

#include "cornellever/cluster/membership.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/cluster/registry_keeper.hpp"
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

constexpr primary_view seen{50ms, false, false};
constexpr primary_view silent{900ms, true, false};
constexpr primary_view refused{200ms, true, true};

primary_verdict judge(std::optional<primary_view> own, std::vector<primary_view> peers, std::size_t known = 2) {
    primary_evidence evidence;
    evidence.own = own;
    evidence.peers = peers;
    evidence.known_peers = known;
    return cluster::judge(evidence);
}

/// A store whose answers a test lines up.
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

BOOST_AUTO_TEST_SUITE(judging_a_primary)

BOOST_AUTO_TEST_CASE(one_that_answers_is_fine) {
    BOOST_TEST((judge(seen, {seen, seen}) == primary_verdict::fine));
}

// Awards made in the last seconds vanish: the primary was well, one proxy
// could not reach it and had a replica promoted that lagged behind.
BOOST_AUTO_TEST_CASE(one_that_only_this_proxy_cannot_reach_is_not_replaced) {
    BOOST_TEST((judge(silent, {seen, silent}) == primary_verdict::fine));
    BOOST_TEST((judge(refused, {seen, refused}) == primary_verdict::fine));
}

BOOST_AUTO_TEST_CASE(one_that_nobody_reaches_is_lost) {
    BOOST_TEST((judge(silent, {silent, silent}) == primary_verdict::lost));
    BOOST_TEST((judge(refused, {refused, silent}) == primary_verdict::lost));
}

BOOST_AUTO_TEST_CASE(a_moment_of_silence_is_no_evidence) {
    BOOST_TEST((judge(primary_view{300ms, true, false}, {silent, silent}) == primary_verdict::fine));
}

// A proxy that is cut off from all others and from the primary would otherwise
// order a promotion that nobody else sees a need for.
BOOST_AUTO_TEST_CASE(a_proxy_without_live_peers_waits_longer) {
    BOOST_TEST((judge(silent, {}) == primary_verdict::fine));
    BOOST_TEST((judge(primary_view{2600ms, true, false}, {}) == primary_verdict::lost));
    BOOST_TEST((judge(silent, {}, 0) == primary_verdict::lost));
}

// Guards against an empty primary that is kept because most proxies know no earlier position of it.
BOOST_AUTO_TEST_CASE(one_that_lost_its_log_is_lost_also_where_others_see_it) {
    const primary_view without_log{10ms, true, true, true};
    BOOST_TEST((judge(without_log, {seen, seen, seen}) == primary_verdict::lost));
    BOOST_TEST((judge(seen, {without_log, seen}) == primary_verdict::fine));
}

BOOST_AUTO_TEST_CASE(one_that_drains_is_to_be_replaced_while_it_serves) {
    primary_evidence evidence;
    evidence.own = seen;
    evidence.entry.draining = true;
    BOOST_TEST((cluster::judge(evidence) == primary_verdict::leaving));
}

// Nobody can write although the primary is well: its entry went because it
// could not reach the store for some seconds, and it was dropped for that.
BOOST_AUTO_TEST_CASE(one_whose_entry_went_is_replaced_only_after_a_while) {
    primary_evidence evidence;
    evidence.own = seen;
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

BOOST_AUTO_TEST_CASE(a_message_is_read_as_it_was_written) {
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
                                 .confirmed_age = 12ms,
                                 .heard_age = 3ms,
                                 .unreachable = true,
                                 .refused = true,
                                 .sample = cluster::aged_sample{8ms, {2, 66}}});
    message.primaries.push_back({.service = "other"});
    message.primaries.push_back({.service = "emptied",
                                 .primary = "q",
                                 .log_lost = true,
                                 .sample = cluster::aged_sample{8ms, {2, 66}},
                                 .furthest = sql::log_position{2, 70}});
    message.primaries.push_back({.service = "usual",
                                 .primary = "r",
                                 .sample = cluster::aged_sample{8ms, {2, 66}},
                                 .furthest = sql::log_position{2, 66}});
    message.heard.push_back({"proxy-2", 40ms});
    const auto back = cluster::decode(cluster::encode(message));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(back->sender == "proxy-1");
    BOOST_TEST(!back->store_reachable);
    BOOST_TEST((back->config_age == 120ms));
    BOOST_TEST(!back->registry_age.has_value());
    BOOST_TEST_REQUIRE(back->primaries.size() == 4U);
    BOOST_TEST(back->primaries[0].refused);
    BOOST_TEST(!back->primaries[0].log_lost);
    BOOST_TEST(!back->primaries[0].furthest.has_value());
    BOOST_TEST(back->primaries[2].log_lost);
    BOOST_TEST((back->primaries[2].furthest == sql::log_position{2, 70}));
    BOOST_TEST((back->primaries[3].furthest == sql::log_position{2, 66}));
    BOOST_TEST((back->primaries[0].sample->position == sql::log_position{2, 66}));
    BOOST_TEST(back->primaries[1].primary.empty());
    BOOST_TEST(back->cluster == 77U);
    BOOST_TEST_REQUIRE(back->heard.size() == 1U);
    BOOST_TEST(back->heard[0].name == "proxy-2");
    BOOST_TEST((back->heard[0].age == 40ms));
}

// A primary is judged lost by proxies that hear it: a question without reports
// was taken for the word that its sender sees no primary.
BOOST_AUTO_TEST_CASE(a_question_without_reports_leaves_what_was_reported) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    peer_message answer{.what = peer_message::kind::answer, .sender = "a", .incarnation = 1};
    answer.primaries.push_back({.service = "stock", .primary = "p"});
    members.hear(answer, where, start, start);
    peer_message question{.sender = "a", .incarnation = 1, .reports = false};
    const auto back = decode(encode(question));
    BOOST_TEST_REQUIRE(back.has_value());
    BOOST_TEST(!back->reports);
    members.hear(*back, where, start + 1s, start + 1s);
    BOOST_TEST(members.peers().at("a").primaries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(anything_else_is_not_a_message) {
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

BOOST_AUTO_TEST_CASE(a_proxy_is_known_from_its_heartbeat_and_forgotten_when_silent) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.learn("a", "here", where, start);
    BOOST_TEST(members.counted() == 2U);
    BOOST_TEST(members.able(start).size() == 1U);
    peer_message message{.sender = "a", .incarnation = 1};
    BOOST_TEST(members.hear(message, where, start, start));
    BOOST_TEST(!members.hear(message, where, start + 100ms, start));
    BOOST_TEST((members.able(start + 200ms) == std::vector<std::string>{"a", "b"}));
    // One that the store does not answer can't take its turn at a promotion.
    message.store_reachable = false;
    members.hear(message, where, start + 300ms, start);
    BOOST_TEST(members.able(start + 400ms).size() == 1U);
    members.note_asked({{where}}, start + 1s);
    BOOST_TEST(members.forget_silent(start + 5s).empty());
    BOOST_TEST(members.forget_silent(start + 10s).size() == 1U);
    BOOST_TEST(members.counted() == 1U);
}

// Half of the proxies are taken for dead and come back all the time although
// nothing is wrong, and connections are shared out anew each time: of 64
// proxies each talks to any other one only every few seconds.
BOOST_AUTO_TEST_CASE(a_proxy_is_alive_by_the_word_of_another) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.learn("a", "here", where, start);
    members.hear_of({"a", 300ms}, start + 5s);
    members.hear_of({"nobody", 0ms}, start + 5s);
    BOOST_TEST((members.able(start + 6s) == std::vector<std::string>{"a", "b"}));
    BOOST_TEST(members.able(start + 7s).size() == 1U);
    members.note_asked({{where}}, start + 6s);
    BOOST_TEST(members.forget_silent(start + 12s).empty());
    BOOST_TEST(members.forget_silent(start + 13s).size() == 1U);
    BOOST_TEST(members.counted() == 1U);
}

// Callers' sessions move from owner to owner on a day without any fault: with
// 195 proxies the word on one reaches another only every few seconds, some
// words come later than 8 s, and silence alone was taken for death.
BOOST_AUTO_TEST_CASE(a_proxy_is_dropped_only_after_it_failed_to_answer) {
    using namespace cornellever::cluster;
    membership members{"self"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    members.hear({.sender = "a", .incarnation = 1}, where, start, start);
    BOOST_TEST(members.forget_silent(start + 20s).empty());
    BOOST_TEST(membership::is_presumed_alive(members.peers().at("a"), start + 5s));
    members.note_asked({{where}}, start + 20s);
    BOOST_TEST(members.forget_silent(start + 20s + 500ms).empty());
    members.hear({.sender = "a", .incarnation = 1}, where, start + 20s + 600ms, start + 20s);
    BOOST_TEST(members.forget_silent(start + 30s).empty());
    members.note_asked({{where}}, start + 30s);
    BOOST_TEST(!membership::is_presumed_alive(members.peers().at("a"), start + 31s + 1ms));
    BOOST_TEST(members.forget_silent(start + 31s + 1ms).size() == 1U);
}

// As above: whoever was not heard of for 4 s is asked, a few at a time.
BOOST_AUTO_TEST_CASE(those_of_which_no_word_came_are_asked) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 100; ++i) {
        members.hear({.sender = "p" + std::to_string(i), .incarnation = 1},
                     {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)},
                     start + (i < 5 ? 0s : 4s), start);
    }
    const auto asked = members.to_ask({}, {}, "here", 12, start + 4s + 500ms, random);
    BOOST_TEST(std::ranges::count_if(asked.others, [](const auto& item) { return item.port() < 7005; }) == 5);
    const auto all = members.to_ask({}, {}, "here", 12, start + 9s, random);
    BOOST_TEST(all.others.size() == 2U + membership::doubted_at_once);
}

// A promotion is judged by what a process said that has been replaced since:
// its datagram was under way while the next process started.
BOOST_AUTO_TEST_CASE(a_late_message_of_an_earlier_process_does_not_count) {
    using namespace cornellever::cluster;
    membership members{"b"};
    const asio::ip::udp::endpoint where{asio::ip::make_address("10.0.0.1"), 7000};
    peer_message old{.sender = "a", .incarnation = 1};
    old.primaries.push_back({.service = "stock", .primary = "p"});
    BOOST_TEST(members.hear(old, where, start, start));
    BOOST_TEST(members.hear({.sender = "a", .incarnation = 2}, where, start + 1s, start + 1s));
    BOOST_TEST(!members.hear(old, where, start + 2s, start + 2s));
    BOOST_TEST(members.peers().at("a").incarnation == 2U);
    BOOST_TEST(members.peers().at("a").primaries.empty());
}

BOOST_AUTO_TEST_CASE(those_that_see_the_same_primaries_are_asked_first) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 40; ++i) {
        peer_message message{.sender = "p" + std::to_string(i), .incarnation = 1};
        message.primaries.push_back({.service = i < 4 ? "stock" : "other", .primary = "p"});
        message.data_center = i == 30 ? "here" : "there";
        members.hear(message, {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)}, start, start);
    }
    const asio::ip::udp::endpoint near{asio::ip::make_address("10.0.0.1"), 7030};
    const asio::ip::udp::endpoint silent{asio::ip::make_address("10.0.0.1"), 7020};
    for (int i = 0; i < 40; ++i) {
        if (i != 20) {
            members.hear_of({"p" + std::to_string(i), 0ms}, start + 500ms);
        }
    }
    const auto asked = members.to_ask({"stock"}, {}, "here", 12, start + 500ms, random);
    BOOST_TEST(std::ranges::count(asked.others, silent) == 1);
    BOOST_TEST(asked.related.size() == 4U);
    BOOST_TEST(std::ranges::all_of(asked.related, [](const auto& item) { return item.port() < 7004; }));
    BOOST_TEST(asked.others.size() == 3U);
    BOOST_TEST(std::ranges::count(asked.others, near) == 1);
    // Few enough to ask all of them: none has to speak for another.
    const auto all = members.to_ask({"stock"}, {}, "here", 40, start + 500ms, random);
    BOOST_TEST(all.related.size() == 40U);
    BOOST_TEST(all.others.empty());
    BOOST_TEST(members.some_alive(6, start + 1s, random).size() == 6U);
    BOOST_TEST(members.some_alive(6, start + 4s, random).empty());
}

// Reads miss what was written seconds before: a partition left the primary
// with some proxies, which went on writing there. The others knew only one or
// two of these yet, since each had to hear by chance that another uses the same
// service, agreed that the primary was lost and had a replica promoted.
BOOST_AUTO_TEST_CASE(owners_of_the_same_servers_are_asked_before_they_said_anything) {
    using namespace cornellever::cluster;
    membership members{"self"};
    std::minstd_rand random{7};
    for (int i = 0; i < 40; ++i) {
        members.learn("p" + std::to_string(i), "there",
                      {asio::ip::make_address("10.0.0.1"), static_cast<std::uint16_t>(7000 + i)}, start);
    }
    const auto asked = members.to_ask({"stock"}, {"p1", "p2", "p3", "self"}, "here", 12, start, random);
    BOOST_TEST(asked.related.size() == 3U);
    BOOST_TEST(std::ranges::all_of(asked.related, [](const auto& item) { return item.port() < 7004; }));
}

// Guards against sending to every proxy that is behind what it has already.
BOOST_AUTO_TEST_CASE(a_snapshot_leaves_out_what_the_other_has) {
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
    auto spoilt = cluster::snapshot_of(config, listed, {});
    spoilt["registry"]["packed"] = "x";
    BOOST_TEST(!cluster::snapshot_from_json(spoilt));
}

BOOST_AUTO_TEST_CASE(a_snapshot_is_read_as_it_was_written) {
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

// No request is served for seconds after an outage of the store although every
// server is well: their entries had expired meanwhile.
BOOST_AUTO_TEST_CASE(servers_whose_entry_went_are_kept_for_a_while) {
    cluster::registry_keeper keeper;
    keeper.take(test::three_servers(), start);
    auto fewer = test::three_servers();
    fewer.servers.erase("r1");
    keeper.take(fewer, start + 1s);
    BOOST_TEST(keeper.effective().servers.contains("r1"));
    BOOST_TEST((keeper.missing_for("r1", start + 2s) == 1000ms));
    BOOST_TEST(!keeper.missing_for("p", start + 2s));
    keeper.take(test::three_servers(), start + 3s);
    BOOST_TEST(!keeper.missing_for("r1", start + 3s));
    keeper.take(fewer, start + 4s);
    BOOST_TEST(!keeper.expire(start + 8s));
    BOOST_TEST(keeper.expire(start + 9s));
    BOOST_TEST(!keeper.effective().servers.contains("r1"));
}

BOOST_AUTO_TEST_CASE(a_server_that_drained_and_went_is_gone_at_once) {
    cluster::registry_keeper keeper;
    auto servers = test::three_servers();
    servers.servers["r1"].draining = true;
    keeper.take(servers, start);
    servers.servers.erase("r1");
    keeper.take(servers, start + 1s);
    BOOST_TEST(!keeper.effective().servers.contains("r1"));
}

// Guards against judging a service by servers that are gone, or not by those that came.
BOOST_AUTO_TEST_CASE(servers_are_listed_by_service) {
    routing::registry registered;
    registered.version = 1;
    registered.servers.emplace("a1", routing::backend_server{.id = "a1", .service = "a"});
    registered.servers.emplace("a2", routing::backend_server{.id = "a2", .service = "a"});
    registered.servers.emplace("b1", routing::backend_server{.id = "b1", .service = "b"});
    cluster::registry_keeper keeper;
    keeper.take(registered, start);
    BOOST_TEST(keeper.by_service().size() == 2U);
    BOOST_TEST(keeper.by_service().at("a").size() == 2U);
    registered.version = 2;
    registered.servers.erase("a2");
    registered.servers.emplace("c1", routing::backend_server{.id = "c1", .service = "c"});
    keeper.take(registered, start + 1s);
    BOOST_TEST(keeper.by_service().at("a").size() == 2U);
    BOOST_TEST(keeper.by_service().at("c").front()->id == "c1");
    BOOST_TEST(keeper.expire(start + 10s));
    BOOST_TEST(keeper.by_service().at("a").size() == 1U);
    BOOST_TEST(keeper.by_service().at("a").front()->id == "a1");
}

// A proxy keeps a configuration that was replaced long ago: the store dropped
// the history from which it would have learned of the change.
BOOST_AUTO_TEST_CASE(the_whole_table_is_read_again_when_its_history_is_gone) {
    event_loop io;
    scripted_store store{.io = io};
    store.lists.push_back(cluster::store_rows{{{"a", "1", 3, false}, {"b", "1", 4, false}}, 4, 0ms});
    store.feeds.push_back(cluster::store_rows{{{"a", "2", 5, false}}, 5, 0ms});
    store.feeds.push_back(fail(errc::unavailable, "down"));
    store.feeds.push_back(fail(errc::behind, "gone"));
    store.lists.push_back(cluster::store_rows{{{"a", "3", 9, false}}, 9, 0ms});
    std::vector<std::pair<std::size_t, std::string>> seen_rows;
    cluster::table_follower follower{store, "t",
                                     [] {
                                         return cluster::watch_pace{true, 10ms};
                                     },
                                     [&](const cluster::table_rows& rows, std::uint64_t) {
                                         seen_rows.emplace_back(rows.size(), rows.at("a").value);
                                         return true;
                                     }};
    asio::co_spawn(io, follower.run(), asio::detached);
    io.run();
    BOOST_TEST_REQUIRE(seen_rows.size() == 3U);
    BOOST_TEST(seen_rows[1].first == 2U);
    BOOST_TEST(seen_rows[1].second == "2");
    BOOST_TEST(seen_rows[2].first == 1U);
    BOOST_TEST(seen_rows[2].second == "3");
    BOOST_TEST((store.asked_after == std::vector<std::uint64_t>{4, 5, 5, 9}));
    io.destroy_suspended_coroutines();
}

// With 64 proxies each change of one server took 64 calls to the store, which
// answers a limited number a second from all together.
BOOST_AUTO_TEST_CASE(few_of_many_proxies_wait_for_changes) {
    using namespace cornellever::cluster;
    constexpr watch_plan plan{.first = 1s, .few = 8s, .many = 12s, .readers = 4};
    BOOST_TEST((pace_of(plan, 0, 64).waits && pace_of(plan, 0, 64).span == 1s));
    BOOST_TEST((pace_of(plan, 3, 64).waits && pace_of(plan, 3, 64).span == 12s));
    BOOST_TEST(!pace_of(plan, 4, 64).waits);
    BOOST_TEST((pace_of(plan, 4, 7).waits && pace_of(plan, 4, 7).span == 8s));
    const std::vector<std::string> able{"a", "b", "c", "d", "e"};
    std::set<std::size_t> ranks;
    for (const auto& name : able) {
        ranks.insert(watch_rank("servers", name, able));
    }
    BOOST_TEST(ranks.size() == able.size());
}

// Servers stay unknown to a proxy whose peers all died: it read the table once
// and relied on them for changes.
BOOST_AUTO_TEST_CASE(a_proxy_that_relies_on_peers_reads_the_table_when_its_turn_comes) {
    event_loop io;
    scripted_store store{.io = io};
    store.lists.push_back(cluster::store_rows{{{"a", "1", 3, false}}, 8, 0ms});
    store.feeds.push_back(cluster::store_rows{{{"a", "2", 9, false}}, 9, 0ms});
    bool turn = false;
    std::vector<std::uint64_t> versions;
    cluster::table_follower follower{store, "t",
                                     [&] {
                                         return cluster::watch_pace{std::exchange(turn, true), 1h};
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
