#include "cornellever/config/parsing.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cornellever::config {

section_name split_section(std::string_view section) {
    const auto space = section.find(' ');
    if (space == std::string_view::npos) {
        return {std::string{section}, {}};
    }
    return {std::string{section.substr(0, space)}, std::string{section.substr(space + 1)}};
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= text.size()) {
        auto end = text.find(',', start);
        if (end == std::string_view::npos) {
            end = text.size();
        }
        auto item = text.substr(start, end - start);
        const auto first = item.find_first_not_of(" \t");
        const auto last = item.find_last_not_of(" \t");
        if (first != std::string_view::npos) {
            items.emplace_back(item.substr(first, last - first + 1));
        }
        start = end + 1;
    }
    return items;
}

bool is_name(std::string_view text) {
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && std::ranges::all_of(text, allowed);
}

bool parse_int(std::string_view text, std::int64_t& out) {
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc{} && end == text.data() + text.size();
}

bool split_instance_path(std::string_view text, instance_path& out) {
    const auto first = text.find('/');
    const auto second = first == std::string_view::npos ? first : text.find('/', first + 1);
    if (second == std::string_view::npos || text.find('/', second + 1) != std::string_view::npos) {
        return false;
    }
    out = {std::string{text.substr(0, first)}, std::string{text.substr(first + 1, second - first - 1)},
           std::string{text.substr(second + 1)}};
    return !out.service.empty() && !out.database.empty() && !out.instance.empty();
}

} // namespace cornellever::config
