#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::cluster {

/// The table that holds, per service, the claim on replacing its primary.
inline constexpr std::string_view claims_table = "promotions";

/// A row of that table.
struct promotion_claim {
    /// Name and incarnation of the proxy that holds the claim.
    std::string holder;
    /// The primary to be replaced; empty if none was known.
    std::string replaces;
    std::string successor;
    /// Number of the claim among those of its holder, by which the holder recognises its own row.
    std::uint64_t number{0};
    /// The store's clock when the claim was made.
    std::chrono::milliseconds at{0};
};

[[nodiscard]] std::string encode(const promotion_claim& claim);

/// Nothing if the text is not a claim, such as the value of a row that does not exist.
[[nodiscard]] std::optional<promotion_claim> decode_claim(std::string_view text);

} // namespace cornellever::cluster
