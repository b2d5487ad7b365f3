#pragma once

#include <string>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/ini/document.hpp"

namespace cornellever::proxy {

/// The settings of one proxy as unparsed text: its name, its zone and the addresses. Everything else comes from the
/// configuration that the proxy reads from the platform, the external service that keeps the configuration and the list
/// of VMs.
struct settings_text {
    std::string name;
    std::string zone;
    std::string listen;
    std::string platform;
    /// Addresses of the other proxies, separated by commas.
    std::string peers;
};

/// The settings with their addresses parsed.
struct settings {
    std::string name;
    std::string zone;
    tcp::endpoint listen;
    tcp::endpoint platform;
    std::vector<tcp::endpoint> peers;
};

/// Reads the section `[proxy]` from a folder of INI files into `out`; returns all problems found.
[[nodiscard]] std::vector<ini::finding> read_settings(const std::string& folder, settings_text& out);

/// Validates the texts and parses their addresses into `out`; returns all problems found.
[[nodiscard]] std::vector<ini::finding> check_settings(const settings_text& text, settings& out);

} // namespace cornellever::proxy
