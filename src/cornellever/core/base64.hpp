#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cornellever {

[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Nothing when the text is not base64.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace cornellever
