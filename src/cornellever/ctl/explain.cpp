#include "cornellever/ctl/explain.hpp"

#include <algorithm>
#include <array>

#include "cornellever/core/printable_word.hpp"
#include "cornellever/ctl/log_line.hpp"

namespace cornellever::ctl {

namespace {

/// Names of the events that end a request.
constexpr std::array<std::string_view, 7> final_events{
    "request.served",    "request.refused", "request.outcome_unknown", "transaction.failed", "session.refused",
    "request.forbidden", "limit.refused"};

bool mentions_request(std::string_view line, std::string_view request) {
    const auto field = " request=" + printable_word(request);
    const auto at = line.find(field);
    if (at == std::string_view::npos) {
        return false;
    }
    const auto following = line.substr(at + field.size());
    return following.empty() || following.front() == ' ';
}

bool is_final_line(std::string_view line) {
    return std::ranges::any_of(final_events,
                               [&](std::string_view name) { return line.find(name) != std::string_view::npos; });
}

} // namespace

void collect_request_lines(std::string_view request, const std::string& file, std::string_view log,
                           std::vector<request_line>& into) {
    std::size_t number = 0;
    while (!log.empty()) {
        const auto end = log.find('\n');
        const auto line = log.substr(0, end);
        ++number;
        if (mentions_request(line, request)) {
            into.push_back({file, number, std::string{line}});
        }
        log = end == std::string_view::npos ? std::string_view{} : log.substr(end + 1);
    }
}

void sort_request_lines(std::vector<request_line>& lines) {
    std::ranges::stable_sort(lines, {}, [](const request_line& item) { return std::string{timestamp_of(item.text)}; });
    for (auto at = lines.rbegin(); at != lines.rend(); ++at) {
        if (is_final_line(at->text)) {
            at->decisive = true;
            return;
        }
    }
}

} // namespace cornellever::ctl
