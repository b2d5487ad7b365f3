#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cornellever/core/error.hpp"

namespace cornellever {

/// A zlib-compressed text, base64-encoded for use in a JSON string.
struct packed_text {
    /// Length of the uncompressed text.
    std::size_t bytes{0};
    std::string base64;
};

[[nodiscard]] packed_text pack(std::string_view text);

/// Returns the uncompressed text. Errors: `bad_request` when `packed` is malformed
/// or declares more than `max_bytes` of uncompressed text.
[[nodiscard]] result<std::string> unpack(const packed_text& packed, std::size_t max_bytes);

} // namespace cornellever
