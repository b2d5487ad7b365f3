#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::ctl {

/// A parsed log line that reports an event; all members are views into the line.
struct log_line {
    /// ISO 8601 date and time with milliseconds.
    std::string_view timestamp;
    /// The event's name, such as `request.served`.
    std::string_view event;
    std::map<std::string_view, std::string_view> fields;

    /// Returns the value of a field; empty when the field is missing.
    [[nodiscard]] std::string_view field(std::string_view name) const;

    /// Returns the value of a field in milliseconds; 0 when the field is missing
    /// or not a number.
    [[nodiscard]] long long milliseconds(std::string_view name) const;
};

/// Returns the timestamp of a line, which may follow a prefix written by a log
/// collector; empty when the line has no timestamp.
[[nodiscard]] std::string_view timestamp_of(std::string_view line);

/// Parses a line; `nullopt` when the line does not report an event. The value of
/// a field is quoted or extends to the next ` name=`.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view line);

} // namespace cornellever::ctl
