#pragma once

#include <cstdint>
#include <optional>

#include "cornellever/config/model.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// Stores `config` as the applied configuration by compare-and-set on the
/// row's version: `expected` when given, else the version read just before.
/// Returns the new version. Errors: `conflict` when another operator applied
/// first (nothing written); `unavailable` when the platform cannot be
/// reached (nothing written); `outcome_unknown` only when the answer was lost
/// and a re-read could not tell whether the write took effect.
[[nodiscard]] result<std::uint64_t> apply(const tcp::endpoint& platform, const config::cluster& config,
                                          std::optional<std::uint64_t> expected);

} // namespace cornellever::ctl
