#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cornellever/core/error.hpp"

namespace cornellever {

/// Compressed text as base64, to stand in a JSON string.
struct packed_text {
    /// Of the text itself.
    std::size_t bytes{0};
    std::string base64;
};

/// Compresses `text`.
[[nodiscard]] packed_text pack(std::string_view text);

/// The text again. `bad_request` when it is not what `pack` made, or is said to
/// be longer than `most` bytes.
[[nodiscard]] result<std::string> unpack(const packed_text& packed, std::size_t most);

} // namespace cornellever
