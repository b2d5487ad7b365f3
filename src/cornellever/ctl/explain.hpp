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

/// Appends to `into` the lines of `log` that contain the request id `request`;
/// `log` is the content of `file`.
void collect_request_lines(std::string_view request, const std::string& file, std::string_view log,
                           std::vector<request_line>& into);

/// Sorts the lines of all logs by time and marks as decisive the last line that
/// reports the outcome of the request.
void sort_request_lines(std::vector<request_line>& lines);

} // namespace cornellever::ctl
