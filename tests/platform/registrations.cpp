#include <boost/test/unit_test.hpp>

#include "cornellever/cluster/registry_reader.hpp"
#include "cornellever/cluster/snapshot.hpp"
#include "cornellever/core/daemon.hpp"
#include "platform/row_codec.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

namespace {

/// A registration as servers write it, with the value of `field` replaced; an empty value omits the field.
std::string registration(const std::string& field = {}, const std::string& value = {}) {
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Service", "\"s\""}, {"Address", "\"10.0.0.9:80\""}, {"Zone", "\"z\""},     {"Version", "\"v1\""},
        {"Slots", "2"},       {"State", "\"ready\""},         {"WarmupLeftMs", "0"}, {"Seq", "4"},
        {"born", "1700"},     {"DbRole", "\"replica\""}};
    std::string out{"{"};
    for (const auto& [name, default_value] : fields) {
        const auto& text = name == field ? value : default_value;
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

// Guards against an invalid row that ends every proxy, also after each restart: the JSON library throws on a negative
// number where an unsigned one is read.
BOOST_AUTO_TEST_CASE(a_registration_with_a_missing_or_invalid_field_is_refused) {
    BOOST_TEST(platform::decode_server("i-1", registration()).has_value());
    for (const auto* field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "WarmupLeftMs", "Seq", "DbRole"}) {
        for (const auto* invalid : {"", "-1", "null", "[]", "{}", "1e300", "\"\"", "\"nobody knows\"", "true", "0.5"}) {
            if (std::string{field} == "Version" && invalid[0] == '"') {
                // Any text is a valid version.
                continue;
            }
            if (std::string{field} == "WarmupLeftMs" && (invalid[0] == '-' || invalid[0] == '1' || invalid[0] == '0')) {
                // Any number is valid; the field is not used.
                continue;
            }
            BOOST_TEST(!platform::decode_server("i-1", registration(field, invalid)).has_value(),
                       field << " = " << invalid);
        }
    }
    BOOST_TEST(!platform::decode_server("i-1", "").has_value());
    BOOST_TEST(!platform::decode_server("i-1", "\xff\xfe{").has_value());
    BOOST_TEST(!platform::decode_server("i-1", std::string(5000, '[')).has_value());
    BOOST_TEST(!platform::decode_server("two words", registration()).has_value());
}

// Guards against defaults for unknown values: a row counted as a draining replica would keep a real server's address in
// use, and one counted as a draining primary would start a planned failover.
BOOST_AUTO_TEST_CASE(an_unknown_state_or_role_is_refused) {
    BOOST_TEST(!platform::decode_server("i-1", registration("State", "\"starting\"")).has_value());
    BOOST_TEST(!platform::decode_server("i-1", registration("DbRole", "\"observer\"")).has_value());
    BOOST_TEST(platform::decode_server("i-1", registration("State", "\"draining\"")).value().draining);
}

BOOST_AUTO_TEST_CASE(the_start_time_is_a_whole_number_or_absent) {
    BOOST_TEST(platform::decode_server("i-1", registration()).value().started_at_ms == 1700U);
    BOOST_TEST(platform::decode_server("i-1", registration("born", "")).value().started_at_ms == 0U);
    for (const auto* invalid : {"-1", "\"1700\"", "1.5", "null", "1e300"}) {
        BOOST_TEST(!platform::decode_server("i-1", registration("born", invalid)).has_value(), invalid);
    }
}

// Guards against one invalid row that invalidates the others or fills the log: the whole table is read at every change,
// several times a second during a release.
BOOST_AUTO_TEST_CASE(other_rows_stay_in_force_and_each_invalid_row_is_reported_once) {
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

BOOST_AUTO_TEST_CASE(out_of_range_numbers_in_a_configuration_do_not_throw) {
    for (const auto* invalid : {"-1", "1e300", "99999999999999999999999", "null", "\"x\"", "[]"}) {
        const std::string number{invalid};
        const auto config = platform::decode_configuration(
            R"({"Version":7,"Routes":[{"Host":"db","Service":"s","TimeoutMs":)" + number + R"(,"TargetLatencyMs":)" +
            number + R"(,"Priority":)" + number + R"(}],"Services":[{"Name":"s","MaxConnections":)" + number +
            R"(,"SyncReplicas":)" + number + R"(}],"Limits":{"TxIdleMs":)" + number + "}}");
        BOOST_TEST_REQUIRE(config.has_value(), number);
        BOOST_TEST((config->routes.at("db").statement_timeout <= 24h));
        BOOST_TEST(!platform::decode_configuration(R"({"Version":)" + number + R"(,"Routes":[]})").has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_snapshot_keeps_the_start_times_of_servers) {
    routing::registry servers;
    servers.version = 3;
    servers.servers["i-1"] = platform::decode_server("i-1", registration()).value();
    const auto again = cluster::snapshot_from_json(cluster::snapshot_of({}, cluster::pack(servers), {}));
    BOOST_TEST_REQUIRE(again.has_value());
    BOOST_TEST((again->servers.servers.at("i-1") == servers.servers.at("i-1")));
}

BOOST_AUTO_TEST_CASE(accounts_are_decoded_and_only_digests_of_their_keys_kept) {
    const auto config = platform::decode_configuration(
                            R"({"Version":7,"Routes":[{"Host":"db","Service":"s"},)"
                            R"({"Host":"open","Service":"s","Anonymous":true}],"Tenants":[)"
                            R"({"Name":"yard","ApiKeys":["k1","k2"],"Priority":3,"RatePerS":191,"Burst":191},)"
                            R"({"Name":"shop","ApiKeys":[]}]})")
                            .value();
    BOOST_TEST(!config.routes.at("db").keyless);
    BOOST_TEST(config.routes.at("open").keyless);
    const auto* yard = config.accounts.find_by_key(accounts::key_digest::of("k2"));
    BOOST_TEST_REQUIRE(yard != nullptr);
    BOOST_TEST(yard->name == "yard");
    BOOST_TEST(yard->priority == 3);
    BOOST_TEST((yard->limit == accounts::rate_limit{191, 191}));
    BOOST_TEST(!config.accounts.find("shop")->limit.has_value());
    BOOST_TEST(config.accounts.find_by_key(accounts::key_digest::of("k3")) == nullptr);
}

BOOST_AUTO_TEST_CASE(without_accounts_no_database_requires_a_key) {
    const auto config = platform::decode_configuration(R"({"Version":7,"Routes":[{"Host":"db","Service":"s"}]})");
    BOOST_TEST(config.value().routes.at("db").keyless);
}

BOOST_AUTO_TEST_CASE(invalid_accounts_are_refused_without_revealing_their_keys) {
    for (const auto* invalid :
         {R"({"ApiKeys":["secret"]})", R"({"Name":"two words","ApiKeys":["secret"]})", R"({"Name":"yard"})",
          R"({"Name":"yard","ApiKeys":["secret",7]})", R"({"Name":"yard","ApiKeys":"secret"})", "7", "null"}) {
        const auto config =
            platform::decode_configuration(R"({"Version":7,"Routes":[],"Tenants":[)" + std::string{invalid} + "]}");
        BOOST_TEST_REQUIRE(!config.has_value(), invalid);
        BOOST_TEST(config.error().message.find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
