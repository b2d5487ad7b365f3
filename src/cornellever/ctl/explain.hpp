#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::ctl {

/// A log line about a request.
struct request_line {
    std::string file;
    /// Line number in the file, from 1.
    std::size_t number{0};
    std::string text;
    /// Whether this line reports the outcome of the request.
    bool decisive{false};
};

/// Appends the lines of `log`, the content of `file`, that have the request's id.
void collect_request_lines(std::string_view request, const std::string& file, std::string_view log,
                           std::vector<request_line>& into);

/// Sorts the lines of all logs by time and marks as decisive the last one that
/// reports how the request ended.
void sort_request_lines(std::vector<request_line>& lines);

} // namespace cornellever::ctl
