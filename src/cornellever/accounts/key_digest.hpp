#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::accounts {

/// Identifies a client's key by its 128-bit BLAKE2b digest. The key itself is discarded as soon as it has been decoded
/// from the client's message, so that no log, state dump or message to another proxy can contain it.
class key_digest {
public:
    static constexpr std::size_t bytes = 16;

    /// Constructs the digest that stands for a missing key. All of its bytes are zero.
    key_digest() = default;

    /// Returns the digest of a key as the client sent it.
    [[nodiscard]] static key_digest of(std::string_view key);

    /// Parses a digest in the format of `text`. Returns nothing for any other input.
    [[nodiscard]] static std::optional<key_digest> parse(std::string_view text);

    /// Returns the whole digest in hexadecimal, for messages between proxies.
    [[nodiscard]] std::string text() const;

    /// Returns the first digits of the digest, which are enough to tell keys apart in logs.
    [[nodiscard]] std::string fingerprint() const { return text().substr(0, fingerprint_digits); }

    friend auto operator<=>(const key_digest&, const key_digest&) = default;

private:
    static constexpr std::size_t fingerprint_digits = 8;

    std::array<unsigned char, bytes> m_bytes{};
};

} // namespace cornellever::accounts
