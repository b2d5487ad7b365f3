#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>
#include <sstream>

#include "cornellever/core/log.hpp"
#include "cornellever/core/log_queue.hpp"
#include "cornellever/core/printable_word.hpp"
#include "cornellever/ctl/explain.hpp"
#include "cornellever/metrics/exposition.hpp"
#include "cornellever/session/serve_settings.hpp"

using namespace cornellever;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(diagnostics)

BOOST_AUTO_TEST_CASE(request_lines_are_collected_from_all_logs_in_time_order) {
    std::vector<ctl::request_line> lines;
    ctl::collect_request_lines("5c", "b.log",
                               "2026-01-01T00:00:02.000 serve INFO CL1310 request.refused request=5c reason=x\n"
                               "2026-01-01T00:00:02.100 serve INFO CL1310 request.refused request=5cc reason=x\n",
                               lines);
    ctl::collect_request_lines(
        "5c", "a.log", "  0.5 front 2026-01-01T00:00:01.500 serve INFO CL1311 request.retried request=5c\n", lines);
    ctl::sort_request_lines(lines);
    BOOST_TEST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].file == "a.log");
    BOOST_TEST(!lines[0].decisive);
    BOOST_TEST(lines[1].decisive);
    BOOST_TEST(lines[1].number == 1U);
}

BOOST_AUTO_TEST_CASE(line_of_a_forbidden_request_is_decisive) {
    std::vector<ctl::request_line> lines;
    ctl::collect_request_lines(
        "7", "a.log",
        "2026-01-04T08:39:43.000 serve INFO CL1311 request.retried request=7 reason=owner_gone\n"
        "2026-01-04T08:39:43.001 serve INFO CL1317 request.forbidden request=7 reason=lease_ended\n",
        lines);
    ctl::sort_request_lines(lines);
    BOOST_TEST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines.back().decisive);
}

// Guards against a caller's text that begins a line or a field of its own, and against ids that look the same.
BOOST_AUTO_TEST_CASE(text_of_a_caller_is_one_word_of_bounded_length) {
    BOOST_TEST(printable_word("5c0e7a21d94b36f8") == "5c0e7a21d94b36f8");
    BOOST_TEST(printable_word("a\nb\r c=\"\\") == "a\\x0ab\\x0d\\x20c\\x3d\\x22\\x5c");
    BOOST_TEST(printable_word("\xff\x7f") == "\\xff\\x7f");
    const std::string long_id(1'000'000, 'x');
    for (std::size_t length = 0; length < 400; ++length) {
        for (const char letter : {'x', '\n'}) {
            BOOST_TEST(printable_word(std::string(length, letter)).size() <= max_printable_word_bytes);
        }
    }
    BOOST_TEST(printable_word(long_id).size() <= max_printable_word_bytes);
    BOOST_TEST(printable_word(long_id) != printable_word(long_id + "x"));
    BOOST_TEST(printable_word(long_id + "y") != printable_word(long_id + "x"));
}

BOOST_AUTO_TEST_CASE(a_request_is_found_by_an_id_of_any_bytes) {
    const std::string id{"5c\nrequest=7"};
    const auto log =
        "2026-01-01T00:00:02.000 serve INFO CL1310 request.refused request=" + printable_word(id) + " reason=x\n";
    std::vector<ctl::request_line> lines;
    ctl::collect_request_lines("7", "a.log", log, lines);
    ctl::collect_request_lines("5c", "a.log", log, lines);
    BOOST_TEST(lines.empty());
    ctl::collect_request_lines(id, "a.log", log, lines);
    BOOST_TEST(lines.size() == 1U);
}

// Guards against text of a server or an operator that begins a log line of its own.
BOOST_AUTO_TEST_CASE(an_event_is_one_line) {
    std::ostringstream captured;
    auto* const usual = std::cout.rdbuf(captured.rdbuf());
    log_event(event::request_served, "reason=first\nsecond\r" + std::string(100'000, 'x'));
    std::cout.rdbuf(usual);
    const auto text = captured.str();
    BOOST_TEST(std::ranges::count(text, '\n') == 1);
    BOOST_TEST(text.find("first?second?") != std::string::npos);
    BOOST_TEST(text.size() < 20'000U);
}

// Guards against requests that block on logging: when the proxy's standard output
// is not read, its log lines fill the pipe. Lines above the bounds are dropped
// instead, and their number is logged.
BOOST_AUTO_TEST_CASE(lines_above_the_rate_are_dropped_and_counted) {
    log_queue queue;
    const log_queue::time_point start{};
    for (std::uint32_t i = 0; i < log_queue::lines_per_second + 50; ++i) {
        queue.push(event::request_served, severity::info, "line", start);
    }
    BOOST_TEST(queue.dropped() == 50U);
    // The rate is limited per event.
    queue.push(event::store_lost, severity::warning, "store", start);
    queue.push(event::request_served, severity::info, "later", start + 1s);
    std::vector<std::string> written;
    while (const auto line = queue.pop()) {
        written.push_back(line->text);
    }
    BOOST_TEST(written.size() == log_queue::lines_per_second + 3);
    BOOST_TEST(written[written.size() - 2] == "CL1320 log.lines_dropped event=CL1314 count=50");
    BOOST_TEST(written.back() == "later");
}

BOOST_AUTO_TEST_CASE(number_of_queued_lines_is_bounded) {
    log_queue queue;
    for (int second = 0; second < 100; ++second) {
        for (int i = 0; i < 100; ++i) {
            queue.push(event::request_served, severity::info, "line", log_queue::time_point{second * 1s});
        }
    }
    std::size_t written = 0;
    while (queue.pop()) {
        ++written;
    }
    BOOST_TEST(written <= log_queue::max_lines);
    BOOST_TEST(queue.dropped() > 0U);
}

BOOST_AUTO_TEST_CASE(metrics_follow_the_exposition_format) {
    metrics::latency latency;
    latency.record(12ms);
    metrics::exposition out;
    out.counter("a_total", "Things.", 3, {{"kind", "x"}});
    out.counter("a_total", "", 4, {{"kind", "y"}});
    out.gauge("b", "Level.", -1.5);
    out.summary("c_microseconds", "Times.", latency);
    const std::regex series{R"re([a-z_]+(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? -?[0-9.e+]+)re"};
    std::istringstream lines{out.text()};
    int header_lines = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("# ")) {
            ++header_lines;
        } else {
            BOOST_TEST(std::regex_match(line, series), line);
        }
    }
    BOOST_TEST(header_lines == 6);
}

BOOST_AUTO_TEST_CASE(deploy_template_has_valid_settings) {
    std::ifstream file{CORNELLEVER_SOURCE_DIR "/deploy/proxy.ini.template"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    BOOST_TEST_REQUIRE(!text.empty());
    session::serve_settings out;
    const auto findings = session::read_serve_settings(session::fill_placeholders(text), "template", out);
    for (const auto& item : findings) {
        BOOST_ERROR(ini::to_string(item));
    }
    BOOST_TEST(out.grace == 7s);
    BOOST_TEST(out.metrics.port() == 9464);
}

BOOST_AUTO_TEST_SUITE_END()
