#include <boost/test/unit_test.hpp>

#include "cornellever/cluster/registry_reader.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/core/daemon.hpp"
#include "platform/rows.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

namespace {

/// A registration as servers write it, with one field's value replaced.
std::string registration(const std::string& field = {}, const std::string& value = {}) {
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Service", "\"s\""}, {"Address", "\"10.0.0.9:80\""}, {"Zone", "\"z\""},     {"Version", "\"v1\""},
        {"Slots", "2"},       {"State", "\"ready\""},         {"WarmupLeftMs", "0"}, {"Seq", "4"},
        {"born", "1700"},     {"DbRole", "\"replica\""}};
    std::string out{"{"};
    for (const auto& [name, usual] : fields) {
        const auto& text = name == field ? value : usual;
        if (!text.empty()) {
            out += (out.size() > 1 ? "," : "") + std::string{"\""} + name + "\":" + text;
        }
    }
    return out + "}";
}

cluster::table_rows rows_of(std::initializer_list<std::pair<std::string, std::string>> items) {
    cluster::table_rows out;
    std::uint64_t version = 10;
    for (const auto& [key, value] : items) {
        out[key] = {.key = key, .value = value, .version = ++version};
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registrations)

// Every proxy of a deployment ends, and ends again whenever it is started: one
// row that somebody else had written held a negative number, for which the JSON
// library throws.
BOOST_AUTO_TEST_CASE(a_registration_with_a_field_missing_or_odd_names_no_server) {
    BOOST_TEST(platform::decode_server("i-1", registration()).has_value());
    for (const auto* field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "WarmupLeftMs", "Seq", "DbRole"}) {
        for (const auto* odd : {"", "-1", "null", "[]", "{}", "1e300", "\"\"", "\"nobody knows\"", "true", "0.5"}) {
            if (std::string{field} == "Version" && odd[0] == '"') {
                // Any text is a version.
                continue;
            }
            if (std::string{field} == "WarmupLeftMs" && (odd[0] == '-' || odd[0] == '1' || odd[0] == '0')) {
                // Any number is; it is not used.
                continue;
            }
            BOOST_TEST(!platform::decode_server("i-1", registration(field, odd)).has_value(), field << " = " << odd);
        }
    }
    BOOST_TEST(!platform::decode_server("i-1", "").has_value());
    BOOST_TEST(!platform::decode_server("i-1", "\xff\xfe{").has_value());
    BOOST_TEST(!platform::decode_server("i-1", std::string(5000, '[')).has_value());
    BOOST_TEST(!platform::decode_server("two words", registration()).has_value());
}

// Taken for a replica that leaves, it would keep a real server's address in
// use; a primary's row of that kind would start a planned change of primary.
BOOST_AUTO_TEST_CASE(an_unknown_state_or_role_is_not_guessed) {
    BOOST_TEST(!platform::decode_server("i-1", registration("State", "\"starting\"")).has_value());
    BOOST_TEST(!platform::decode_server("i-1", registration("DbRole", "\"observer\"")).has_value());
    BOOST_TEST(platform::decode_server("i-1", registration("State", "\"draining\"")).value().draining);
}

BOOST_AUTO_TEST_CASE(the_time_of_a_servers_start_is_a_whole_number_or_absent) {
    BOOST_TEST(platform::decode_server("i-1", registration()).value().started_at_ms == 1700U);
    BOOST_TEST(platform::decode_server("i-1", registration("born", "")).value().started_at_ms == 0U);
    for (const auto* odd : {"-1", "\"1700\"", "1.5", "null", "1e300"}) {
        BOOST_TEST(!platform::decode_server("i-1", registration("born", odd)).has_value(), odd);
    }
}

// The other servers hold, and the log is not filled: the table is read as a
// whole at every change, several times a second during a release.
BOOST_AUTO_TEST_CASE(the_others_hold_and_each_odd_row_is_reported_once) {
    cluster::registry_reader reader{&platform::decode_server};
    auto rows = rows_of({{"good", registration()}, {"odd", registration("Slots", "-1")}});
    BOOST_TEST(reader.read(rows, 5).servers.size() == 1U);
    BOOST_TEST(reader.read(rows, 6).servers.contains("good"));
    BOOST_TEST(reader.refusals() == 1U);
    rows["odd"].version = 90;
    BOOST_TEST(reader.read(rows, 7).version == 7U);
    BOOST_TEST(reader.refusals() == 2U);
    rows["odd"].value = registration();
    BOOST_TEST(reader.read(rows, 8).servers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(numbers_out_of_range_in_a_configuration_are_no_exception) {
    for (const auto* odd : {"-1", "1e300", "99999999999999999999999", "null", "\"x\"", "[]"}) {
        const std::string number{odd};
        const auto config = platform::decode_configuration(
            R"({"Version":7,"Routes":[{"Host":"db","Service":"s","TimeoutMs":)" + number + R"(,"TargetLatencyMs":)" +
            number + R"(,"Priority":)" + number + R"(}],"Services":[{"Name":"s","MaxConnections":)" + number +
            R"(,"SyncReplicas":)" + number + R"(}],"Limits":{"TxIdleMs":)" + number + "}}");
        BOOST_TEST_REQUIRE(config.has_value(), number);
        BOOST_TEST((config->routes.at("db").statement_timeout <= 24h));
        BOOST_TEST(!platform::decode_configuration(R"({"Version":)" + number + R"(,"Routes":[]})").has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_peers_snapshot_keeps_when_servers_started) {
    routing::registry servers;
    servers.version = 3;
    servers.servers["i-1"] = platform::decode_server("i-1", registration()).value();
    const auto again = cluster::snapshot_from_json(cluster::snapshot_of({}, cluster::pack(servers), {}));
    BOOST_TEST_REQUIRE(again.has_value());
    BOOST_TEST((again->servers.servers.at("i-1") == servers.servers.at("i-1")));
}

BOOST_AUTO_TEST_CASE(accounts_of_a_configuration_are_decoded_and_their_keys_forgotten) {
    const auto config = platform::decode_configuration(
                            R"({"Version":7,"Routes":[{"Host":"db","Service":"s"},)"
                            R"({"Host":"open","Service":"s","Anonymous":true}],"Tenants":[)"
                            R"({"Name":"yard","ApiKeys":["k1","k2"],"Priority":3,"RatePerS":191,"Burst":191},)"
                            R"({"Name":"shop","ApiKeys":[]}]})")
                            .value();
    BOOST_TEST(!config.routes.at("db").keyless);
    BOOST_TEST(config.routes.at("open").keyless);
    const auto* yard = config.accounts.holder(accounts::key_digest::of("k2"));
    BOOST_TEST_REQUIRE(yard != nullptr);
    BOOST_TEST(yard->name == "yard");
    BOOST_TEST(yard->priority == 3);
    BOOST_TEST((yard->limit == accounts::rate_limit{191, 191}));
    BOOST_TEST(!config.accounts.find("shop")->limit.has_value());
    BOOST_TEST(config.accounts.holder(accounts::key_digest::of("k3")) == nullptr);
}

// A deployment without accounts asks nobody for a key.
BOOST_AUTO_TEST_CASE(without_accounts_every_database_is_open) {
    const auto config = platform::decode_configuration(R"({"Version":7,"Routes":[{"Host":"db","Service":"s"}]})");
    BOOST_TEST(config.value().routes.at("db").keyless);
}

BOOST_AUTO_TEST_CASE(odd_accounts_are_refused_and_their_keys_not_told) {
    for (const auto* odd :
         {R"({"ApiKeys":["secret"]})", R"({"Name":"two words","ApiKeys":["secret"]})", R"({"Name":"yard"})",
          R"({"Name":"yard","ApiKeys":["secret",7]})", R"({"Name":"yard","ApiKeys":"secret"})", "7", "null"}) {
        const auto config =
            platform::decode_configuration(R"({"Version":7,"Routes":[],"Tenants":[)" + std::string{odd} + "]}");
        BOOST_TEST_REQUIRE(!config.has_value(), odd);
        BOOST_TEST(config.error().message.find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
