#pragma once

#include <cstddef>

namespace cornellever {

/// The size of a majority quorum of `members`: any two majorities intersect.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t members) noexcept {
    return members / 2 + 1;
}

/// The number of replicas that must acknowledge a write so that a majority of the
/// members, including the primary, holds the write.
[[nodiscard]] constexpr std::size_t required_replica_acks(std::size_t members) noexcept {
    return majority_of(members) - 1;
}

} // namespace cornellever
