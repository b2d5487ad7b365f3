#include <boost/test/unit_test.hpp>

#include <string>

#include "cornellever/ctl/losses.hpp"

using namespace cornellever;
using ctl::loss_place;

namespace {

const std::string sample_log =
    "  14.0 front-1 2026-01-04T08:39:41.000 serve INFO CL1310 request.refused request=42 database=d service=s "
    "server=i-1 "
    "reason=no connection in time; retry after 100 ms age_ms=120 aim_ms=300\n"
    "  14.1 front-1 2026-01-04T08:39:41.100 serve INFO CL1310 request.refused request=43 database=d service=s "
    "server=i-1 "
    "reason=no connection in time; retry after 100 ms age_ms=799 aim_ms=120\n"
    "2026-01-04T08:39:42.007 serve INFO CL1314 request.served request=44 database=d service=s server=i-1 floor=lead "
    "ran_ms=20 age_ms=500 aim_ms=200\n"
    "2026-01-04T08:39:42.008 serve INFO CL1314 request.served request=45 database=d service=s server=i-1 floor=lead "
    "ran_ms=480 age_ms=500 aim_ms=200\n"
    "2026-01-04T08:39:42.009 serve INFO CL1314 request.served request=46 database=d service=s server=i-1 floor=lead "
    "ran_ms=20 age_ms=30 aim_ms=200\n"
    "2026-01-04T08:39:43.000 serve INFO CL1311 request.retried request=47 database=d service=s server=i-2 "
    "reason=behind floor=1.301 at=1.11 age_ms=3 aim_ms=200\n"
    "2026-01-04T08:39:43.001 serve INFO CL1311 request.retried request=48 database=d reason=owner_gone\n"
    "2026-01-04T08:39:43.002 serve WARNING CL1312 request.outcome_unknown request=49 database=d reason=owner_gone "
    "answer=outcome_unknown\n"
    "2026-01-04T08:39:43.003 serve INFO CL1309 session.refused database=nowhere reason=no_such_database config=7\n"
    "not a line of ours\n";

std::uint64_t count_of(const ctl::loss_table& table, loss_place place, std::string_view reason) {
    for (const auto& [group, count] : table.rows()) {
        if (group.place == place && group.reason == reason) {
            return count.requests;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(losses)

BOOST_AUTO_TEST_CASE(log_line_is_parsed_field_by_field) {
    const auto line =
        ctl::parse_log_line("2026-01-04T08:39:41.000 serve WARNING CL1107 table.not_taken table=op version=7 "
                            "reason=\"a = b, or not\" more=no connection in time; retry x=1");
    BOOST_TEST_REQUIRE(line.has_value());
    BOOST_TEST(line->timestamp == "2026-01-04T08:39:41.000");
    BOOST_TEST(line->event == "table.not_taken");
    BOOST_TEST(line->field("table") == "op");
    BOOST_TEST(line->milliseconds("version") == 7);
    BOOST_TEST(line->field("reason") == "a = b, or not");
    BOOST_TEST(line->field("more") == "no connection in time; retry");
    BOOST_TEST(line->field("x") == "1");
    BOOST_TEST(line->field("none").empty());
    for (const auto* text : {"", " CL", " CL13", " CL1310", "plain words", " CL1310 name"}) {
        const auto other = ctl::parse_log_line(text);
        BOOST_TEST((!other || other->fields.empty()), text);
    }
}

BOOST_AUTO_TEST_CASE(losses_are_counted_by_place_and_reason) {
    ctl::loss_table table;
    table.add_log(sample_log);
    BOOST_TEST(count_of(table, loss_place::queue, "refused: no connection in time") == 1U);
    BOOST_TEST(count_of(table, loss_place::no_primary, "refused: no connection in time") == 1U);
    BOOST_TEST(count_of(table, loss_place::queue, "late") == 1U);
    BOOST_TEST(count_of(table, loss_place::server, "late") == 1U);
    BOOST_TEST(count_of(table, loss_place::server, "retried: behind") == 1U);
    BOOST_TEST(count_of(table, loss_place::relay, "retried: owner_gone") == 1U);
    BOOST_TEST(count_of(table, loss_place::relay, "outcome unknown: owner_gone") == 1U);
    BOOST_TEST(table.rows().size() == 7U);
    BOOST_TEST_REQUIRE(table.per_second().size() == 3U);
    BOOST_TEST(table.per_second().at("2026-01-04T08:39:41").requests == 2U);
    BOOST_TEST(table.per_second().at("2026-01-04T08:39:41").longest_ms == 799);
    BOOST_TEST(table.per_second().at("2026-01-04T08:39:43").requests == 1U);
}

// Refusals by an account's limit or for its key must not be counted as a shortage
// of connections. Requests with an unknown key are not counted.
BOOST_AUTO_TEST_CASE(account_refusals_are_counted_separately) {
    ctl::loss_table table;
    table.add_log(
        "2026-01-04T08:39:43.000 serve INFO CL1318 limit.refused request=1 database=d account=yard "
        "reason=used_up asked=8 wait_ms=12\n"
        "2026-01-04T08:39:43.000 serve INFO CL1317 request.forbidden request=2 database=d service=s server=- "
        "reason=lease_ended key=00112233 proof_ms=4900 age_ms=0 aim_ms=200\n"
        "2026-01-04T08:39:43.000 serve INFO CL1309 session.refused database=d reason=unknown_key key=00112233 "
        "relayed=0 config=7\n");
    BOOST_TEST(count_of(table, loss_place::account, "refused: used_up") == 1U);
    BOOST_TEST(count_of(table, loss_place::account, "refused: lease_ended") == 1U);
    BOOST_TEST(table.rows().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
