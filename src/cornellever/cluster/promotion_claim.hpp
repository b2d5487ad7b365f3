#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::cluster {

/// The table that holds one row per service: the claim of the proxy that is replacing the service's
/// primary.
inline constexpr std::string_view claims_table = "promotions";

/// A row of the claims table. It reserves the replacement of one primary for one proxy.
struct promotion_claim {
    /// Name of the proxy that holds the claim, and the incarnation that identifies its process.
    std::string holder;
    /// The primary to be replaced; empty if none was known.
    std::string replaces;
    std::string successor;
    /// Number of the claim among all claims of its holder. By this number, the holder recognises a
    /// row that it wrote itself.
    std::uint64_t number{0};
    /// The time of the store's clock when the claim was made.
    std::chrono::milliseconds at{0};
};

/// What an existing claim means for a proxy that is about to replace a primary.
enum class claim_state {
    /// The claim was made by the same process.
    own,
    /// The claim is to replace a different primary.
    other_primary,
    /// Another proxy made the claim to replace the same primary, too long ago.
    expired,
    /// Another proxy made the claim to replace the same primary and may still be doing so.
    held,
};

[[nodiscard]] claim_state classify(const promotion_claim& before, std::string_view old, std::string_view claimant,
                                   std::chrono::milliseconds store_time);

[[nodiscard]] std::string_view to_string(claim_state state) noexcept;

/// Returns whether the claim `before` keeps `claimant` from replacing `old`.
[[nodiscard]] inline bool blocks_promotion(const promotion_claim& before, std::string_view old,
                                           std::string_view claimant, std::chrono::milliseconds store_time) {
    return classify(before, old, claimant, store_time) == claim_state::held;
}

/// Returns whether the claim `before` is so recent that the primary must not be handed over.
[[nodiscard]] bool blocks_handover(const promotion_claim& before, std::chrono::milliseconds store_time);

[[nodiscard]] std::string encode(const promotion_claim& claim);

/// Returns nullopt if the text is not a claim, such as the empty value of a row that does not
/// exist.
[[nodiscard]] std::optional<promotion_claim> decode_claim(std::string_view text);

} // namespace cornellever::cluster
