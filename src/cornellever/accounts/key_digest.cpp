#include "cornellever/accounts/key_digest.hpp"

#include <sodium.h>

namespace cornellever::accounts {

key_digest key_digest::of(std::string_view key) {
    key_digest out;
    crypto_generichash(out.m_bytes.data(), out.m_bytes.size(), reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), nullptr, 0);
    return out;
}

std::optional<key_digest> key_digest::parse(std::string_view text) {
    key_digest out;
    std::size_t length = 0;
    const bool decoded = sodium_hex2bin(out.m_bytes.data(), out.m_bytes.size(), text.data(), text.size(), nullptr,
                                        &length, nullptr) == 0;
    if (!decoded || length != bytes || text.size() != 2 * bytes) {
        return std::nullopt;
    }
    return out;
}

std::string key_digest::text() const {
    std::array<char, 2 * bytes + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), m_bytes.data(), m_bytes.size());
    return {digits.data(), 2 * bytes};
}

} // namespace cornellever::accounts
