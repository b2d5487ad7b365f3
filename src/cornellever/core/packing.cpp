#include "cornellever/core/packing.hpp"

#include <zlib.h>

#include "cornellever/core/base64.hpp"

namespace cornellever {

namespace {

const Bytef* bytes_of(std::string_view text) {
    return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* bytes_of(std::string& text) {
    return reinterpret_cast<Bytef*>(text.data());
}

} // namespace

packed_text pack(std::string_view text) {
    auto length = ::compressBound(static_cast<uLong>(text.size()));
    std::string out(length, '\0');
    // Fails only when the buffer is too small, which `compressBound` rules out.
    (void)::compress2(bytes_of(out), &length, bytes_of(text), static_cast<uLong>(text.size()), Z_BEST_SPEED);
    out.resize(length);
    return {text.size(), encode_base64(out)};
}

result<std::string> unpack(const packed_text& packed, std::size_t max_bytes) {
    if (packed.bytes > max_bytes) {
        return fail(errc::bad_request, "a packed text of " + std::to_string(packed.bytes) + " bytes is too long");
    }
    const auto compressed = decode_base64(packed.base64);
    if (!compressed) {
        return fail(errc::bad_request, "a packed text is not base64");
    }
    std::string out(packed.bytes, '\0');
    auto length = static_cast<uLongf>(out.size());
    const auto status =
        ::uncompress(bytes_of(out), &length, bytes_of(*compressed), static_cast<uLong>(compressed->size()));
    if (status != Z_OK || length != out.size()) {
        return fail(errc::bad_request, "a packed text cannot be unpacked");
    }
    return out;
}

} // namespace cornellever
