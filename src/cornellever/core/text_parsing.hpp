#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cornellever {

/// Removes the first word and the space after the word from `rest`, which
/// contains space-separated words, and returns the word.
[[nodiscard]] inline std::string_view next_word(std::string_view& rest) {
    const auto separator = rest.find(' ');
    const auto word = rest.substr(0, separator);
    rest = separator == std::string_view::npos ? std::string_view{} : rest.substr(separator + 1);
    return word;
}

/// Parses all of `text` as an unsigned decimal number; `nullopt` when `text` is
/// not such a number.
[[nodiscard]] inline std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
    std::uint64_t out = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{out} : std::nullopt;
}

} // namespace cornellever
