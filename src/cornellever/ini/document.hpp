#pragma once

#include <string>
#include <vector>

namespace cornellever::ini {

/// Where a line came from: file name as given and 1-based line number.
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

/// Something wrong with the input, at the place that shows it.
struct finding {
    origin where;
    std::string message;
};

/// The entries of one or more INI files in reading order, with every
/// syntax finding met on the way. Sections with no entries are kept in
/// `sections` so that an empty section can still be reported.
struct document {
    std::vector<entry> entries;
    std::vector<entry> sections;
    std::vector<finding> findings;
};

/// Formats a finding as `file:line: message`.
[[nodiscard]] std::string to_string(const finding& item);

} // namespace cornellever::ini
