#pragma once

#include <string_view>

namespace cornellever {

/// Cuts the first word off `rest`, with the blank behind it.
[[nodiscard]] inline std::string_view take_word(std::string_view& rest) {
    const auto blank = rest.find(' ');
    const auto word = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view{} : rest.substr(blank + 1);
    return word;
}

} // namespace cornellever
