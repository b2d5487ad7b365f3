#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::ctl {

/// A line of a process's log, taken apart. Views into the line.
struct log_line {
    /// Date, T and clock time with milliseconds.
    std::string_view time;
    /// The event's name in the catalogue.
    std::string_view event;
    std::map<std::string_view, std::string_view> fields;

    /// The value of a field; empty when the line has none of that name.
    [[nodiscard]] std::string_view field(std::string_view name) const;

    /// A field that counts milliseconds; 0 when it is missing or no number.
    [[nodiscard]] long long milliseconds(std::string_view name) const;
};

/// The time of a line, whatever a collector of logs wrote before it; empty when
/// the line has none.
[[nodiscard]] std::string_view time_of(std::string_view line);

/// Nothing for a line that is none of an event. A value goes to the next
/// `name=`, or stands in quotes.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view line);

} // namespace cornellever::ctl
