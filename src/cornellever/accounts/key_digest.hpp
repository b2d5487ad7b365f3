#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::accounts {

/// Stands for a client's key: BLAKE2b of it, cut to 128 bits. The key itself is
/// dropped where it is decoded, so that no log, dump or message can hold one.
class key_digest {
public:
    static constexpr std::size_t bytes = 16;

    /// Of no key at all.
    key_digest() = default;

    /// The digest of a key as a client sends it.
    [[nodiscard]] static key_digest of(std::string_view key);

    /// What `text` wrote; nothing for anything else.
    [[nodiscard]] static std::optional<key_digest> parse(std::string_view text);

    /// All of it in hexadecimal, for messages between proxies.
    [[nodiscard]] std::string text() const;

    /// Enough of it to tell keys apart in logs.
    [[nodiscard]] std::string fingerprint() const { return text().substr(0, fingerprint_digits); }

    friend auto operator<=>(const key_digest&, const key_digest&) = default;

private:
    static constexpr std::size_t fingerprint_digits = 8;

    std::array<unsigned char, bytes> m_bytes{};
};

} // namespace cornellever::accounts
