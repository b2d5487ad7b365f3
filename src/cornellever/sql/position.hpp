#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornellever::sql {

/// A position in the log of a replicated service. Numbers continue across terms.
/// A log that holds any entry of a term holds everything that its primary had when
/// the term began. A log holds a position only if its entry with that number was
/// written in that term: the last entry before the first of a new term has no
/// position in the new term.
struct log_position {
    std::uint64_t term{0};
    std::uint64_t number{0};

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// `TERM.NUMBER`, as in log output.
[[nodiscard]] inline std::string to_string(const log_position& at) {
    return std::to_string(at.term) + "." + std::to_string(at.number);
}

} // namespace cornellever::sql
