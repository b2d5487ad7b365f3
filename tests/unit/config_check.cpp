#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "cornellever/config/load.hpp"
#include "cornellever/ini/reader.hpp"

using namespace cornellever;

namespace {

config::load_result check(std::initializer_list<std::pair<const char*, const char*>> files) {
    ini::document document;
    for (const auto& [name, text] : files) {
        ini::read_text(text, name, document);
    }
    return config::from_document(document);
}

constexpr auto valid_cluster = "[cluster]\nname = vatuwaqa\nzones = walu, laucala, nabua\n";
constexpr auto valid_service = "[service stockbook]\nmax_staleness_ms = 1500\n"
                               "[instance stockbook/orders/walu]\nzone = walu\naddress = 127.0.0.1:7101\n"
                               "connections = 16\n";

} // namespace

BOOST_AUTO_TEST_CASE(a_valid_folder_has_no_findings) {
    const auto loaded = check({{"00-cluster.ini", valid_cluster}, {"10-stockbook.ini", valid_service}});
    BOOST_TEST(loaded.ok());
    BOOST_TEST(loaded.config.services.size() == 1u);
    BOOST_TEST(loaded.config.services[0].databases[0].instances[0].connections == 16);
}

// Three mistakes in two files: a misspelt key, an unknown zone and a syntax error. All must be reported at once, each
// with its file and line, and the whole configuration must be rejected.
BOOST_AUTO_TEST_CASE(three_mistakes_in_two_files_are_all_reported) {
    const auto loaded = check({{"00-cluster.ini", valid_cluster},
                               {"10-stockbook.ini", "[service stockbook]\nmax_stalenes_ms = 1500\n"
                                                    "[instance stockbook/orders/walu]\nzone = suva\n"
                                                    "address = 127.0.0.1:7101\n"},
                               {"20-more.ini", "[instance stockbook/orders/nabua]\nzone = nabua\n"
                                               "address 127.0.0.1:7102\n"}});
    BOOST_TEST(!loaded.ok());
    std::vector<std::string> locations;
    for (const auto& item : loaded.findings) {
        locations.push_back(item.where.file + ":" + std::to_string(item.where.line));
    }
    for (const auto* location : {"10-stockbook.ini:2", "10-stockbook.ini:4", "20-more.ini:3"}) {
        BOOST_TEST((std::ranges::find(locations, location) != locations.end()), location << " is reported");
    }
}

BOOST_AUTO_TEST_CASE(a_key_set_twice_in_one_file_is_a_finding) {
    const auto loaded = check({{"00-cluster.ini", valid_cluster},
                               {"10-stockbook.ini", "[service stockbook]\nmax_staleness_ms = 1\nmax_staleness_ms = 2\n"
                                                    "[instance stockbook/orders/walu]\nzone = walu\n"
                                                    "address = 127.0.0.1:7101\n"}});
    BOOST_REQUIRE_EQUAL(loaded.findings.size(), 1u);
    BOOST_TEST(loaded.findings[0].where.line == 3);
}

// A zone named ";[c" would parse back as a comment.
BOOST_AUTO_TEST_CASE(names_that_would_not_parse_back_are_findings) {
    const auto loaded = check({{"00-cluster.ini", "[cluster]\nname = v\nzones = walu,;[c\n"},
                               {"10-stockbook.ini", "[service stock book]\nnon_repeatable = a b\n"
                                                    "[instance stock book/o*/walu]\nzone = walu\n"
                                                    "address = 127.0.0.1:7101\n"}});
    BOOST_TEST(loaded.findings.size() == 5u);
}

BOOST_AUTO_TEST_CASE(a_later_file_overrides_an_earlier_one) {
    const auto loaded = check({{"00-cluster.ini", valid_cluster},
                               {"10-stockbook.ini", valid_service},
                               {"90-override.ini", "[instance stockbook/orders/walu]\nconnections = 8\n"}});
    BOOST_TEST(loaded.ok());
    BOOST_TEST(loaded.config.services[0].databases[0].instances[0].connections == 8);
}

// A control character in a section header must not make the reader restore that section in an endless loop, and a long
// line must not be truncated silently, which would lose the end of a list of zones.
BOOST_AUTO_TEST_CASE(lines_that_cannot_be_read_are_findings) {
    ini::document document;
    const std::string text =
        std::string{"[a"} + '\0' + "b]\nbroken\nx = 1\n[c ;d]\nbroken\ny = " + std::string(300, 'z') + "\nbroken\n";
    ini::read_text(text, "f.ini", document);
    std::set<int> lines;
    for (const auto& item : document.findings) {
        lines.insert(item.where.line);
    }
    const std::set<int> expected{1, 2, 4, 5, 6, 7};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(syntax_errors_after_the_first_are_reported) {
    ini::document document;
    ini::read_text("[a]\nx = 1\nbroken\ny = 2\nalso broken\n[b]\nz = 3\n", "f.ini", document);
    BOOST_REQUIRE_EQUAL(document.findings.size(), 2u);
    BOOST_TEST(document.findings[0].where.line == 3);
    BOOST_TEST(document.findings[1].where.line == 5);
    BOOST_REQUIRE_EQUAL(document.entries.size(), 3u);
    BOOST_TEST(document.entries[1].section == "a");
    BOOST_TEST(document.entries[1].where.line == 4);
    BOOST_TEST(document.entries[2].section == "b");
    BOOST_TEST(document.entries[2].where.line == 7);
}
