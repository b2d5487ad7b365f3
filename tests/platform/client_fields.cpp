#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "two_proxies.hpp"

using namespace cornellever;
using namespace std::chrono_literals;
using test::two_proxies;

// The fields of the statement protocol that a caller fills, with any bytes and up to the maximum length of a message,
// at one proxy and through a second one. docs/PROOFS.md lists the test of each field.

namespace {

constexpr std::size_t max_message_bytes = std::size_t{1024} * 1024;

/// Returns all bytes, without `without` and without CR LF, which ends a message.
std::string all_bytes_but(std::string_view without) {
    std::string out;
    for (int byte = 255; byte >= 0; --byte) {
        if (without.find(static_cast<char>(byte)) == std::string_view::npos) {
            out.push_back(static_cast<char>(byte));
        }
    }
    return out;
}

/// Texts of a field that is a word.
std::vector<std::string> words() {
    std::vector<std::string> out{"a",  "\n", "\r",   "\r\r", "a\nb",    "a\n",        "\ra",        "-a",     "AFTER",
                                 "w_", "r_", "READ", "*",    "\\x0a\"", "%level%msg", "request=r1", "\x1b[2J"};
    out.emplace_back(1, '\0');
    out.push_back(all_bytes_but(" "));
    out.emplace_back(70'000, 'w');
    return out;
}

/// Texts of a field that extends to the end of the line.
std::vector<std::string> texts() {
    auto out = words();
    for (const auto* item : {" ", "  ", " a", "a ", "a b", "a  b", "a WRITE 2c1", "a READ 2c1",
                             "a\nQUERY x WRITE 2c1 none", "two\nlines ", " \n \r "}) {
        out.emplace_back(item);
    }
    out.push_back(all_bytes_but(""));
    return out;
}

/// Returns a message that consists of `head` and enough data to be of the maximum length.
std::string longest(std::string head) {
    head.resize(max_message_bytes - std::string_view{"\r\n"}.size(), 'd');
    return head;
}

/// A proxy to which callers connect, which relays their sessions to a second proxy if `relayed`.
struct proxy_path : two_proxies {
    explicit proxy_path(bool through_second_proxy, std::uint16_t port)
        : two_proxies{through_second_proxy ? 5U : 8U, port}
        , relayed{through_second_proxy} {
        entry.host.set_proxies(proxies(relayed ? 20 : 1));
        auto config = entry.host.config();
        ++config.version;
        for (auto& [name, route] : config.routes) {
            route.statement_timeout = 5s;
            route.target_latency = 5s;
        }
        entry.host.update(config);
        owner.host.update(config);
    }

    std::string run(const std::vector<std::vector<std::string>>& sessions) {
        auto transcript = play_in_turn(sessions, 0ms);
        BOOST_TEST((owner.host.counters().sessions_opened > 0U) == relayed);
        return transcript;
    }

    bool relayed;
};

/// Runs `check` with a proxy that runs the sessions itself, and with one that relays them.
template <typename Check>
void at_one_proxy_and_through_a_second_one(std::uint16_t port, Check check) {
    for (const bool relayed : {false, true}) {
        BOOST_TEST_CONTEXT("relayed: " << relayed) {
            proxy_path path{relayed, static_cast<std::uint16_t>(port + (relayed ? 2 : 0))};
            check(path);
            BOOST_TEST(path.primary.long_messages == 0);
            BOOST_TEST(path.primary.unknown_names == 0);
        }
    }
}

/// The end of a transcript, since the messages in it may be long.
std::string tail(const std::string& transcript) {
    constexpr std::size_t length = 400;
    return transcript.substr(transcript.size() - std::min(length, transcript.size()));
}

using statements = std::vector<test::executed_statement>;

} // namespace

BOOST_AUTO_TEST_SUITE(client_fields)

// Guards against a caller whose prepared shape changes the statement that runs, for itself or for another caller that
// uses the same connection.
BOOST_AUTO_TEST_CASE(a_prepared_statement_runs_its_own_shape) {
    auto shapes = texts();
    for (const auto* item : {"put", "put 9z9", "put WRITE 2c1", "put READ 2c1"}) {
        shapes.emplace_back(item);
    }
    const std::vector<std::string> ascending = shapes;
    shapes.insert(shapes.end(), ascending.rbegin(), ascending.rend());
    at_one_proxy_and_through_a_second_one(27401, [&](proxy_path& path) {
        std::vector<std::vector<std::string>> sessions;
        statements expected;
        for (const auto& shape : shapes) {
            const auto number = std::to_string(sessions.size());
            sessions.push_back({"STARTUP strict u", "QUERY p PREPARE s WRITE " + shape,
                                "QUERY w" + number + " EXECUTE s 1a4 data", "QUERY p PREPARE s READ " + shape,
                                "QUERY r" + number + " EXECUTE s 1a4"});
            expected.push_back({"w" + number, "WRITE " + shape + "\n1a4 data", {}});
            expected.push_back({"r" + number, "READ " + shape + "\n1a4", {}});
        }
        const auto transcript = path.run(sessions);
        BOOST_TEST(transcript.find("\n< ERROR") == std::string::npos, tail(transcript));
        BOOST_TEST(path.primary.executed == expected, boost::test_tools::per_element());
    });
}

// Guards against a caller's text in the name under which a statement is prepared at a server, which a server may refuse
// or cut off and which makes the statements that use the name longer.
BOOST_AUTO_TEST_CASE(a_name_at_a_server_does_not_depend_on_the_callers_text) {
    at_one_proxy_and_through_a_second_one(27411, [&](proxy_path& path) {
        std::vector<std::string> lines{"STARTUP strict u"};
        statements expected;
        for (const auto& name : words()) {
            lines.push_back("QUERY p PREPARE " + name + " WRITE put-" + std::to_string(lines.size()));
            expected.push_back({"w" + std::to_string(lines.size()),
                                "WRITE put-" + std::to_string(lines.size() - 1) + "\n1a4 data",
                                {}});
            lines.push_back("QUERY " + expected.back().id + " EXECUTE " + name + " 1a4 data");
        }
        for (const auto& name : words()) {
            lines.push_back("QUERY d DEALLOCATE " + name);
        }
        const auto transcript = path.run({lines});
        BOOST_TEST(transcript.find("\n< ERROR") == std::string::npos, tail(transcript));
        BOOST_TEST(path.primary.executed == expected, boost::test_tools::per_element());
        BOOST_TEST(path.primary.longest_name == 1U);
    });
}

// Guards against an id, an item, data or operands that reach the server changed.
BOOST_AUTO_TEST_CASE(ids_items_and_data_are_forwarded_unchanged) {
    at_one_proxy_and_through_a_second_one(27421, [&](proxy_path& path) {
        std::vector<std::string> lines{"STARTUP strict u", "QUERY p PREPARE s WRITE put"};
        statements expected;
        const auto add = [&](const std::string& id, const std::string& text) {
            lines.push_back("QUERY " + id + " " + text);
            expected.push_back({id, text.starts_with("EXECUTE s ") ? "WRITE put\n" + text.substr(10) : text, {}});
        };
        for (const auto& word : words()) {
            add(word, "READ 1a4");
            add("i", "WRITE " + word + " data");
            add("e", "EXECUTE s " + word + " data");
        }
        for (const auto& text : texts()) {
            add("r", "READ " + text);
            add("w", "WRITE 1a4 " + text);
            add("d", "EXECUTE s 1a4 " + text);
        }
        add("w", "WRITE 1a4 ");
        const auto transcript = path.run({lines});
        BOOST_TEST(transcript.find("\n< ERROR") == std::string::npos, tail(transcript));
        BOOST_TEST(path.primary.executed == expected, boost::test_tools::per_element());
    });
}

// Guards against a session value or the name of one that reaches the server changed or under another name.
BOOST_AUTO_TEST_CASE(values_and_their_names_are_set_unchanged) {
    at_one_proxy_and_through_a_second_one(27431, [&](proxy_path& path) {
        std::vector<std::vector<std::string>> sessions;
        statements expected;
        const auto add = [&](const std::string& name, const std::string& value) {
            const auto id = "w" + std::to_string(sessions.size());
            sessions.push_back(
                {"STARTUP strict u", "QUERY s SET " + name + " " + value, "QUERY " + id + " WRITE 1a4 data"});
            expected.push_back({id, "WRITE 1a4 data", {{name, value}}});
        };
        for (const auto& word : words()) {
            add(word, "x");
        }
        for (const auto& text : texts()) {
            add("v", text);
        }
        add("v", "");
        const auto transcript = path.run(sessions);
        BOOST_TEST(transcript.find("\n< ERROR") == std::string::npos, tail(transcript));
        BOOST_TEST(path.primary.executed == expected, boost::test_tools::per_element());
    });
}

// Guards against a database name that is taken for another one, and against an error that is longer than a message may
// be because it repeats the name.
BOOST_AUTO_TEST_CASE(unknown_databases_are_refused) {
    at_one_proxy_and_through_a_second_one(27441, [&](proxy_path& path) {
        std::vector<std::vector<std::string>> sessions;
        for (const auto& word : words()) {
            sessions.push_back({"STARTUP " + word + " u"});
        }
        sessions.push_back({"STARTUP strict\n u"});
        sessions.push_back({longest("STARTUP ")});
        const auto refused = sessions.size();
        for (const auto& text : texts()) {
            sessions.push_back({"STARTUP strict " + text, "QUERY r READ 1a4"});
        }
        sessions.push_back({longest("STARTUP strict "), "QUERY r READ 1a4"});
        const auto transcript = path.run(sessions);
        std::size_t errors = 0;
        for (auto at = transcript.find("\n< ERROR NODB "); at != std::string::npos;
             at = transcript.find("\n< ERROR NODB ", at + 1)) {
            ++errors;
        }
        BOOST_TEST(errors == refused);
        BOOST_TEST(path.primary.executed.size() == sessions.size() - refused);
    });
}

// Guards against a message that grows on its way until a server closes the connection, after which the outcome of a
// statement that never ran is unknown.
BOOST_AUTO_TEST_CASE(the_longest_messages_are_forwarded) {
    at_one_proxy_and_through_a_second_one(27451, [&](proxy_path& path) {
        const auto shape = longest("QUERY p PREPARE t WRITE ").substr(24);
        const auto value = longest("QUERY s SET v ").substr(14);
        const auto transcript = path.run({
            {"STARTUP strict u", longest("QUERY r READ "), longest("QUERY w WRITE 1a4 ")},
            {"STARTUP strict u", "QUERY p PREPARE s WRITE put", longest("QUERY e EXECUTE s 1a4 ")},
            {"STARTUP strict u", "QUERY p PREPARE t WRITE " + shape, "QUERY t EXECUTE t 1a4 data"},
            {"STARTUP strict u", "QUERY s SET v " + value, "QUERY v WRITE 1a4 data"},
            {"STARTUP own u", "QUERY o WRITE 1a4 data", longest("QUERY f READ ")},
        });
        BOOST_TEST(transcript.find("\n< ERROR") == std::string::npos);
        BOOST_TEST(transcript.find("(closed)") == std::string::npos);
        const auto& executed = path.primary.executed;
        BOOST_TEST_REQUIRE(executed.size() == 7U);
        BOOST_TEST((executed[2].text == "WRITE put\n" + longest("QUERY e EXECUTE s 1a4 ").substr(18)));
        BOOST_TEST((executed[3].text == "WRITE " + shape + "\n1a4 data"));
        BOOST_TEST((executed[4].values == std::map<std::string, std::string>{{"v", value}}));
    });
}

// Guards against a statement that is sent again and again until its time is over because a server refuses what has to
// be prepared for it.
BOOST_AUTO_TEST_CASE(a_refused_shape_fails_the_statement_at_once) {
    for (const bool relayed : {false, true}) {
        proxy_path path{relayed, static_cast<std::uint16_t>(relayed ? 27463 : 27461)};
        path.primary.refused_shape = "nonsense";
        const auto begun = boot_clock::now();
        const auto transcript =
            path.run({{"STARTUP strict u", "QUERY p PREPARE s WRITE nonsense", "QUERY w EXECUTE s 1a4 data",
                       "QUERY q PREPARE s READ nonsense", "QUERY r EXECUTE s 1a4", "QUERY b BEGIN",
                       "QUERY t EXECUTE s 1a4", "QUERY c ROLLBACK", "QUERY x WRITE 1a4 data"}});
        BOOST_TEST((boot_clock::now() - begun < 2s));
        BOOST_TEST(transcript.find("> QUERY w EXECUTE s 1a4 data\n< ERROR MALFORMED p\n< READY I") != std::string::npos,
                   transcript);
        BOOST_TEST(transcript.find("> QUERY r EXECUTE s 1a4\n< ERROR MALFORMED p\n< READY I") != std::string::npos);
        BOOST_TEST(transcript.find("> QUERY t EXECUTE s 1a4\n< ERROR ABORTED") != std::string::npos);
        BOOST_TEST(path.primary.unknown_names <= 3);
        BOOST_TEST_REQUIRE(path.primary.executed.size() == 1U);
        BOOST_TEST(path.primary.executed.front().id == "x");
    }
}

// Guards against a session none of whose statements reaches a server, because its values and prepared statements are
// more than a connection buffers.
BOOST_AUTO_TEST_CASE(a_session_with_too_much_text_is_told_so) {
    constexpr std::size_t value_bytes = 700'000;
    at_one_proxy_and_through_a_second_one(27471, [&](proxy_path& path) {
        std::vector<std::string> lines{"STARTUP strict u"};
        for (const auto* name : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"}) {
            lines.push_back("QUERY s SET " + std::string{name} + " " + std::string(value_bytes, *name));
        }
        lines.emplace_back("QUERY w WRITE 1a4 data");
        const auto transcript = path.run({lines});
        const auto& executed = path.primary.executed;
        BOOST_TEST_REQUIRE(executed.size() == 1U);
        BOOST_TEST(executed.front().values.size() > 0U);
        BOOST_TEST(executed.front().values.size() < 14U);
        BOOST_TEST(transcript.find("\n< ERROR MALFORMED the session's values") != std::string::npos);
        BOOST_TEST(tail(transcript).find("COMPLETE sig.") != std::string::npos);
    });
}

// Guards against a caller's text that begins a log line of its own, and against a log that grows with it.
BOOST_AUTO_TEST_CASE(a_callers_text_stays_within_its_log_line) {
    std::ostringstream captured;
    auto* const usual = std::cout.rdbuf(captured.rdbuf());
    at_one_proxy_and_through_a_second_one(27481, [&](proxy_path& path) {
        std::vector<std::vector<std::string>> sessions{{"STARTUP strict u"}};
        for (const auto& word : words()) {
            sessions.push_back({"STARTUP " + word + " " + word});
            sessions.front().push_back("QUERY " + word + " READ 1a4");
            sessions.front().push_back("QUERY " + word + " EXECUTE " + word + " 1a4");
            sessions.front().push_back("QUERY " + word + " BEGIN");
            sessions.front().push_back("QUERY " + word + " WRITE " + word + " " + word);
            sessions.front().push_back("QUERY " + word + " COMMIT");
        }
        path.run(sessions);
    });
    std::cout.rdbuf(usual);
    std::istringstream lines{captured.str()};
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        BOOST_TEST(line.find(" CL1") != std::string::npos, line.substr(0, 200));
        BOOST_TEST(line.size() < 1000U);
        BOOST_TEST(line.find("request=r1 ") == std::string::npos);
    }
    BOOST_TEST(count > words().size());
}

BOOST_AUTO_TEST_SUITE_END()
