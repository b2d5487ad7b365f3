#pragma once

#include <compare>
#include <cstdint>

namespace cornellever::proxy {

/// A place in a database's log. Ordered by term first: the entry of a later
/// term replaces an earlier term's entry at the same position.
struct write_mark {
    std::uint64_t term{0};
    std::uint64_t position{0};

    friend auto operator<=>(const write_mark&, const write_mark&) = default;
};

} // namespace cornellever::proxy
