#pragma once

#include <string>
#include <vector>

namespace cornellever::ini {

/// The source of a line: the name of the file, and the line number counted from 1. Line 0 stands for the whole file or
/// folder.
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

/// The entries of one or more INI files in reading order, and all findings. `sections` holds every section header, so
/// that an empty section can be reported as well.
struct document {
    std::vector<entry> entries;
    std::vector<entry> sections;
    std::vector<finding> findings;
};

/// Formats a finding as `file:line: message`.
[[nodiscard]] std::string to_string(const finding& item);

} // namespace cornellever::ini
