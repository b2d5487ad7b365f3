#include "cornellever/core/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace cornellever {

namespace base64 = boost::beast::detail::base64;

std::string encode_base64(std::string_view bytes) {
    std::string out(base64::encoded_size(bytes.size()), '\0');
    out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

std::optional<std::string> decode_base64(std::string_view text) {
    while (text.ends_with('=')) {
        text.remove_suffix(1);
    }
    std::string out(base64::decoded_size(text.size() + 4), '\0');
    const auto [written, read] = base64::decode(out.data(), text.data(), text.size());
    if (read != text.size()) {
        return std::nullopt;
    }
    out.resize(written);
    return out;
}

} // namespace cornellever
