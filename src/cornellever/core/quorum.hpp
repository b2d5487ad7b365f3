#pragma once

#include <cstddef>

namespace cornellever {

/// The smallest number of `members` instances such that any two sets of
/// that size share one.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t members) noexcept {
    return members / 2 + 1;
}

/// How many replicas must hold a write, beside its primary, for a majority.
[[nodiscard]] constexpr std::size_t required_replica_acks(std::size_t members) noexcept {
    return majority_of(members) - 1;
}

} // namespace cornellever
