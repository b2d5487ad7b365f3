#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cornellever {

/// Cuts the first word off `rest`, with the blank behind it.
[[nodiscard]] inline std::string_view next_word(std::string_view& rest) {
    const auto blank = rest.find(' ');
    const auto word = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view{} : rest.substr(blank + 1);
    return word;
}

/// The whole number that all of `text` writes; nothing for anything else.
[[nodiscard]] inline std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
    std::uint64_t out = 0;
    const auto* const end = text.data() + text.size();
    const auto got = std::from_chars(text.data(), end, out);
    return got.ec == std::errc{} && got.ptr == end ? std::optional{out} : std::nullopt;
}

} // namespace cornellever
