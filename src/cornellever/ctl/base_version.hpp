#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// The version a configuration folder was made from, kept in the folder's
/// file `.applied`: `fetch` and `apply` write it, the next `apply` expects it.
[[nodiscard]] std::optional<std::uint64_t> read_base(const std::filesystem::path& folder);

/// Notes that `folder` now is version `version`. Errors: `internal`.
[[nodiscard]] result<void> write_base(const std::filesystem::path& folder, std::uint64_t version);

} // namespace cornellever::ctl
