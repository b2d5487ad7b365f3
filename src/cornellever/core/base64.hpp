#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cornellever {

[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Returns `nullopt` when `text` is not valid base64; padding is optional.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace cornellever
