#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::cluster {

/// The table that holds, per service, whose turn it is to replace its primary.
inline constexpr std::string_view claims_table = "promotions";

/// A row of that table.
struct promotion_claim {
    /// Name and incarnation of the proxy whose turn it is.
    std::string holder;
    /// The primary to be replaced; empty when none was known.
    std::string replaces;
    std::string successor;
    /// Counts the claims of the holder, so that it knows its own row.
    std::uint64_t number{0};
    /// The store's clock when the claim was made.
    std::chrono::milliseconds at{0};
};

[[nodiscard]] std::string encode(const promotion_claim& claim);

/// Nothing when the text is no claim, such as that of a row not yet written.
[[nodiscard]] std::optional<promotion_claim> decode_claim(std::string_view text);

} // namespace cornellever::cluster
