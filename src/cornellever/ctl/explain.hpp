#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::ctl {

/// A log line that tells of a request.
struct request_line {
    /// The file it stands in, and its number there.
    std::string file;
    std::size_t number{0};
    std::string text;
    /// Whether it decided the request's outcome.
    bool deciding{false};
};

/// Adds the lines of `log` that name the request, in their order.
void collect_lines(std::string_view request, const std::string& file, std::string_view log,
                   std::vector<request_line>& into);

/// Puts the lines of all logs in the order of their times and marks the one
/// that decided: the last that says how the request ended.
void order_lines(std::vector<request_line>& lines);

} // namespace cornellever::ctl
