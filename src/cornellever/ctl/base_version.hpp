#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// Returns the configuration version that a folder is based on, read from the
/// folder's file `.applied`; `nullopt` when the file does not exist. `fetch` and
/// `apply` write this file, and the next `apply` requires that the platform (the
/// external service that keeps the configuration and the list of VMs) still has that
/// version.
[[nodiscard]] std::optional<std::uint64_t> read_base_version(const std::filesystem::path& folder);

/// Writes the folder's file `.applied`. Errors: `internal` when the file cannot
/// be written.
[[nodiscard]] result<void> write_base_version(const std::filesystem::path& folder, std::uint64_t version);

} // namespace cornellever::ctl
