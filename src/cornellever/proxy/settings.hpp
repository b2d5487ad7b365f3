#pragma once

#include <string>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/ini/document.hpp"

namespace cornellever::proxy {

/// A proxy's own settings, as written: what runs where. Everything else a
/// proxy learns from the applied configuration.
struct settings_text {
    std::string name;
    std::string zone;
    std::string listen;
    std::string platform;
    /// Addresses of other proxies, separated by commas.
    std::string peers;
};

/// The settings with their addresses read.
struct settings {
    std::string name;
    std::string zone;
    tcp::endpoint listen;
    tcp::endpoint platform;
    std::vector<tcp::endpoint> peers;
};

/// Reads `[proxy]` of a folder of INI files into `out`; every finding.
[[nodiscard]] std::vector<ini::finding> read_settings(const std::string& folder, settings_text& out);

/// Checks the texts and reads their addresses into `out`; every finding.
[[nodiscard]] std::vector<ini::finding> check_settings(const settings_text& text, settings& out);

} // namespace cornellever::proxy
