#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "cornellever/ini/document.hpp"

namespace cornellever::ini {

/// Parses INI text and appends its entries and findings to `into`; `file` is the file name that they refer to. Parsing
/// continues after syntax errors, so that all of them are reported.
void read_text(std::string_view text, std::string_view file, document& into);

/// Reads all `*.ini` files of `folder`, merged in the order of their names. A missing or unreadable folder or file is
/// a finding, never an exception.
[[nodiscard]] document read_folder(const std::filesystem::path& folder);

} // namespace cornellever::ini
