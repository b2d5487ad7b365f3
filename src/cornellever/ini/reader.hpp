#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "cornellever/ini/document.hpp"

namespace cornellever::ini {

/// Reads INI text named `file` into `into`, appending entries and findings.
/// Parsing goes on past syntax errors so that all of them are reported.
void read_text(std::string_view text, std::string_view file, document& into);

/// Reads every `*.ini` file of `folder`, merged in the order of their names.
/// A missing or unreadable folder or file is a finding, never an exception.
[[nodiscard]] document read_folder(const std::filesystem::path& folder);

} // namespace cornellever::ini
