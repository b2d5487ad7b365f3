#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::config {

/// The kind and name in a section header such as `service stockbook`.
struct section_name {
    std::string kind;
    std::string name;
};

/// Splits a section header at the first blank.
[[nodiscard]] section_name split_section(std::string_view section);

/// Splits a comma-separated list; blanks around items are removed, empty items skipped.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// Whether `text` is a valid name: not empty, and made of letters, digits, '.', '_' and '-', which are safe in keys,
/// section headers and logs.
[[nodiscard]] bool is_name(std::string_view text);

/// Parses a decimal integer into `out`. Returns false if `text` is not a decimal integer.
[[nodiscard]] bool parse_int(std::string_view text, std::int64_t& out);

/// The parts of an instance name `service/database/instance`.
struct instance_path {
    std::string service;
    std::string database;
    std::string instance;
};

/// Splits an instance name into `out`. Returns false unless the name has exactly three parts that are not empty.
[[nodiscard]] bool split_instance_path(std::string_view text, instance_path& out);

} // namespace cornellever::config
