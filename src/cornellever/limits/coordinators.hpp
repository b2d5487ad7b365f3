#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::limits {

/// The `number` proxies that share out an account's limit, by their places in
/// `proxies`. All that know the same proxies come to the same ones, and one that
/// joins or leaves changes at most one of them (rendezvous hashing).
[[nodiscard]] std::vector<std::size_t> choose_coordinators(std::string_view account, std::size_t number,
                                                           std::span<const std::string> proxies);

} // namespace cornellever::limits
