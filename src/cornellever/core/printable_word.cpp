#include "cornellever/core/printable_word.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "cornellever/core/stable_hash.hpp"

namespace cornellever {

namespace {

constexpr int hexadecimal = 16;

bool is_plain(char letter) noexcept {
    return letter > ' ' && letter <= '~' && letter != '\\' && letter != '"' && letter != '=';
}

std::string hex(std::uint64_t value, std::size_t width) {
    std::array<char, 16> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    const std::string text{digits.data(), written.ptr};
    return std::string(width - text.size(), '0') + text;
}

} // namespace

std::string printable_word(std::string_view text) {
    if (text.size() <= max_printable_word_bytes && std::ranges::all_of(text, is_plain)) {
        return std::string{text};
    }
    constexpr std::string_view escape = "\\x";
    constexpr std::size_t escaped_bytes = 4;
    // The longest ending is `...` with a length and a hash.
    constexpr std::size_t max_prefix_bytes = max_printable_word_bytes - 48;
    std::string out;
    std::string prefix;
    for (const char letter : text) {
        if (out.size() <= max_prefix_bytes) {
            prefix = out;
        }
        if (out.size() + escaped_bytes > max_printable_word_bytes) {
            return prefix + "...bytes:" + std::to_string(text.size()) + ",hash:" + hex(stable_hash({text}), 16);
        }
        if (is_plain(letter)) {
            out.push_back(letter);
        } else {
            out.append(escape).append(hex(static_cast<unsigned char>(letter), 2));
        }
    }
    return out;
}

} // namespace cornellever
