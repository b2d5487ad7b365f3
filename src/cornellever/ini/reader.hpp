#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include "cornellever/ini/document.hpp"

namespace cornellever::ini {

/// Parses INI text and appends its entries and findings to `into`; `file` is the file name that is recorded with each
/// entry and finding. Parsing continues after a syntax error, so that all syntax errors are reported.
void read_text(std::string_view text, std::string_view file, document& into);

/// Reads all `*.ini` files of `folder` and merges them in the order of their file names. A missing or unreadable folder
/// or file is reported as a finding and never as an exception.
[[nodiscard]] document read_folder(const std::filesystem::path& folder);

} // namespace cornellever::ini
