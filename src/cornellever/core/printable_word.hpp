#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cornellever {

/// Maximum length of the result of `printable_word`.
inline constexpr std::size_t max_printable_word_bytes = 160;

/// Returns text of a caller as one word for log fields and error messages. Ordinary ids and names are returned as they
/// are. Bytes that could end a word, a field or a line are escaped as `\xNN`, as are all other bytes but printable
/// ASCII. A long text is cut and ends with its length and a hash, so that different texts stay apart.
[[nodiscard]] std::string printable_word(std::string_view text);

} // namespace cornellever
