#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::config {

/// The kind and name of a section header such as `service stockbook`.
struct section_name {
    std::string kind;
    std::string name;
};

/// Splits a section header at its first blank.
[[nodiscard]] section_name split_section(std::string_view section);

/// The items of a list separated by commas, without the blanks around them.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// Whether `text` can be a name: it is used in keys, sections and logs.
[[nodiscard]] bool is_name(std::string_view text);

/// Reads a whole number; false when `text` is none.
[[nodiscard]] bool parse_int(std::string_view text, std::int64_t& out);

/// The parts of an instance name `service/database/instance`.
struct instance_path {
    std::string service;
    std::string database;
    std::string instance;
};

/// Splits an instance name; false when it has not three parts.
[[nodiscard]] bool split_instance_path(std::string_view text, instance_path& out);

} // namespace cornellever::config
