#pragma once

#include <cstdint>
#include <filesystem>
#include <optional>

#include "cornellever/core/error.hpp"

namespace cornellever::ctl {

/// Reads the configuration version that a folder is based on from its file
/// `.applied`; `nullopt` when there is none. `fetch` and `apply` write that file,
/// and the next `apply` expects the version to be still applied.
[[nodiscard]] std::optional<std::uint64_t> read_base_version(const std::filesystem::path& folder);

/// Writes `.applied`. Errors: `internal` when the file cannot be written.
[[nodiscard]] result<void> write_base_version(const std::filesystem::path& folder, std::uint64_t version);

} // namespace cornellever::ctl
