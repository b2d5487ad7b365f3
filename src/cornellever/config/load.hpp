#pragma once

#include <filesystem>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/ini/document.hpp"

namespace cornellever::config {

/// A checked configuration, or every finding that refuses it.
struct load_result {
    cluster config;
    std::vector<ini::finding> findings;

    [[nodiscard]] bool ok() const noexcept { return findings.empty(); }
};

/// Checks a merged INI document and builds the cluster configuration.
/// Every finding is collected; a configuration with any finding is refused whole.
[[nodiscard]] load_result from_document(const ini::document& document);

/// Reads and checks a folder of INI files merged in name order.
[[nodiscard]] load_result load_folder(const std::filesystem::path& folder);

} // namespace cornellever::config
