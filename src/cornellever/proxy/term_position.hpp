#pragma once

#include <compare>
#include <cstdint>

namespace cornellever::proxy {

/// A position in a database's log. Ordered by term first, because the log entry of a later term replaces an earlier
/// term's entry at the same position.
struct term_position {
    std::uint64_t term{0};
    std::uint64_t position{0};

    friend auto operator<=>(const term_position&, const term_position&) = default;
};

} // namespace cornellever::proxy
