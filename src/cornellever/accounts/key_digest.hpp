#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::accounts {

/// Identifies a client's key by its 128-bit BLAKE2b digest. The key itself is discarded where it is decoded, so that
/// no log, dump or message can contain it.
class key_digest {
public:
    static constexpr std::size_t bytes = 16;

    /// The digest of no key: all bytes are zero.
    key_digest() = default;

    /// The digest of a key as a client sends it.
    [[nodiscard]] static key_digest of(std::string_view key);

    /// Reads the output of `text`; nothing for any other input.
    [[nodiscard]] static std::optional<key_digest> parse(std::string_view text);

    /// The whole digest in hexadecimal, for messages between proxies.
    [[nodiscard]] std::string text() const;

    /// The first digits, enough to tell keys apart in logs.
    [[nodiscard]] std::string fingerprint() const { return text().substr(0, fingerprint_digits); }

    friend auto operator<=>(const key_digest&, const key_digest&) = default;

private:
    static constexpr std::size_t fingerprint_digits = 8;

    std::array<unsigned char, bytes> m_bytes{};
};

} // namespace cornellever::accounts
