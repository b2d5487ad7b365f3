#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cornellever::sql {

/// A place in the log of a replicated service. Numbers run on over a change of
/// term; a log that holds any entry of a term holds all that its primary had
/// when the term began. A log holds a position only where its entry of that
/// number was made in that term: the last entry before a new term's first has
/// no position in the new term.
struct log_position {
    std::uint64_t term{0};
    std::uint64_t number{0};

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// `TERM.NUMBER`, for logs.
[[nodiscard]] inline std::string to_string(const log_position& at) {
    return std::to_string(at.term) + "." + std::to_string(at.number);
}

} // namespace cornellever::sql
