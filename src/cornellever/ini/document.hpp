#pragma once

#include <string>
#include <vector>

namespace cornellever::ini {

/// The source of a line: file name as passed by the caller, and 1-based line number.
struct origin {
    std::string file;
    int line{0};
};

/// One `key = value` line under its `[section]`.
struct entry {
    std::string section;
    std::string key;
    std::string value;
    origin where;
};

/// A problem in the input and its location.
struct finding {
    origin where;
    std::string message;
};

/// The entries of one or more INI files in reading order, and all syntax errors. `sections` holds every section
/// header, so that an empty section can be reported as well.
struct document {
    std::vector<entry> entries;
    std::vector<entry> sections;
    std::vector<finding> findings;
};

/// Formats a finding as `file:line: message`.
[[nodiscard]] std::string to_string(const finding& item);

} // namespace cornellever::ini
