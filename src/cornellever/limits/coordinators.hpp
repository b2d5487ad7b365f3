#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::limits {

/// Chooses the `number` proxies that coordinate an account's limit, as indices into `proxies`. By rendezvous hashing,
/// all callers with the same `proxies` choose the same coordinators, and a proxy that joins or leaves replaces at most
/// one of them.
[[nodiscard]] std::vector<std::size_t> choose_coordinators(std::string_view account, std::size_t number,
                                                           std::span<const std::string> proxies);

} // namespace cornellever::limits
