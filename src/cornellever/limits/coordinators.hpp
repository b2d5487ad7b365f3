#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::limits {

/// Chooses the `number` proxies that coordinate an account's limit and returns them as indices into `proxies`.
/// Rendezvous hashing ensures that all proxies with the same list `proxies` choose the same coordinators, and that a
/// proxy that joins or leaves the list changes at most one of them.
[[nodiscard]] std::vector<std::size_t> choose_coordinators(std::string_view account, std::size_t number,
                                                           std::span<const std::string> proxies);

} // namespace cornellever::limits
