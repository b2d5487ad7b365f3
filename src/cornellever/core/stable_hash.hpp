#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace cornellever {

/// Hashes the concatenated texts (FNV-1a with a final bit mix). Unlike
/// `std::hash`, the result is the same in every process.
[[nodiscard]] constexpr std::uint64_t stable_hash(std::initializer_list<std::string_view> texts) noexcept {
    std::uint64_t out = 14695981039346656037ULL;
    for (const auto text : texts) {
        for (const char byte : text) {
            out = (out ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
        }
    }
    out ^= out >> 33U;
    out *= 0xff51afd7ed558ccdULL;
    return out ^ (out >> 33U);
}

} // namespace cornellever
