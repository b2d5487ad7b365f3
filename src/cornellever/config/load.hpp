#pragma once

#include <filesystem>
#include <vector>

#include "cornellever/config/model.hpp"
#include "cornellever/ini/document.hpp"

namespace cornellever::config {

/// A valid configuration, or all findings (problems in the input) for which the configuration is rejected.
struct load_result {
    cluster config;
    std::vector<ini::finding> findings;

    [[nodiscard]] bool ok() const noexcept { return findings.empty(); }
};

/// Validates an INI document that was merged from one or more files, and builds the cluster configuration. All findings
/// are collected; a configuration with any finding is rejected as a whole.
[[nodiscard]] load_result from_document(const ini::document& document);

/// Reads and validates the INI files of a folder, merged in the order of their file names.
[[nodiscard]] load_result load_folder(const std::filesystem::path& folder);

} // namespace cornellever::config
