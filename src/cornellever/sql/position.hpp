#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornellever::sql {

/// A position in the log of a replicated service: the number of a log entry and the term of the primary that wrote it.
/// Numbers continue across terms. A log that holds any entry of a term holds everything that the primary of that term
/// had when the term began. A log holds a position only if its entry with that number was written in that term. For
/// example, number 7 with term 3 is in no log if term 3 began after entry 7.
struct log_position {
    std::uint64_t term{0};
    std::uint64_t number{0};

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// Returns the position as `TERM.NUMBER`, the form used in log output.
[[nodiscard]] inline std::string to_string(const log_position& at) {
    return std::to_string(at.term) + "." + std::to_string(at.number);
}

} // namespace cornellever::sql
