#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace cornellever::soak {

/// Draws texts for the fields of the statements that callers send: mostly short ones of any bytes, rarely long ones. A
/// text never holds CR LF, which ends a message.
class field_texts {
public:
    /// Maximum length of a text. A statement has at most three fields that callers fill, and fits into a message.
    static constexpr std::size_t max_bytes = std::size_t{256} * 1024;

    explicit field_texts(std::uint64_t seed) : m_random{seed} {}

    /// Returns a text for a field that is a word, which is not empty and has no blanks.
    [[nodiscard]] std::string word() { return draw(1, false); }

    /// Returns a text for a field that extends to the end of the line, which may be empty and hold blanks.
    [[nodiscard]] std::string text() { return draw(0, true); }

    /// Whether an event that has the probability 1 / `n` occurs.
    [[nodiscard]] bool one_in(std::uint64_t n) { return m_random() % n == 0; }

private:
    [[nodiscard]] std::string draw(std::size_t min_bytes, bool with_blanks);

    std::mt19937_64 m_random;
};

} // namespace cornellever::soak
