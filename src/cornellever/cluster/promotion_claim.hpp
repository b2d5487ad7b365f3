#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::cluster {

/// The table that holds one row per service: the claim of the proxy that is replacing the service's
/// primary.
inline constexpr std::string_view claims_table = "promotions";

/// How long a claim keeps the other proxies from replacing the same primary, unless its holder
/// renews it. The holder renews it before it repeats an order, at most 1.4 s after the last one.
inline constexpr std::chrono::milliseconds claim_lease{2600};

/// Time within which the platform executes or refuses an order, whether it responds or not.
inline constexpr std::chrono::milliseconds max_order_delay{12'000};

/// Time within which the orders of two proxies on one service must not be executed alternately.
inline constexpr std::chrono::milliseconds min_alternation_interval{3000};

/// A proxy that has claimed a service recently.
struct recent_claimant {
    /// Name of the proxy, which its processes have in common.
    std::string proxy;
    /// The time of the store's clock by which the platform has executed or refused all orders that
    /// the proxy sent.
    std::chrono::milliseconds orders_done_at{0};
};

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
    /// The time of the store's clock when the claim was made or last renewed.
    std::chrono::milliseconds at{0};
    /// Whether the holder has confirmed that the successor is the primary.
    bool completed{false};
    /// The proxies whose orders may still be executed, or were executed within
    /// `min_alternation_interval`, in the order of their last claims. The holder is the last one.
    std::vector<recent_claimant> claimants{};
};

/// Returns the name of the proxy from the holder of a claim, NAME/INCARNATION.
[[nodiscard]] constexpr std::string_view proxy_of(std::string_view holder) {
    return holder.substr(0, holder.rfind('/'));
}

/// A proxy that is about to claim a service.
struct claim_request {
    /// Name of the proxy.
    std::string_view proxy;
    /// The primary to be replaced.
    std::string_view old;
    /// The time of the store's clock when the existing claim was read.
    std::chrono::milliseconds store_time{0};
    /// Whether the proxy that holds the existing claim seems to be alive.
    bool holder_alive{true};
};

/// What an existing claim means for a proxy that is about to replace a primary.
enum class claim_state {
    /// The claim was made by the same proxy.
    own,
    /// The claim is to replace a different primary.
    other_primary,
    /// Another proxy made the claim, and has neither renewed nor completed it.
    expired,
    /// Another proxy made the claim and may still be replacing the primary.
    held,
    /// Another proxy has ordered a promotion since this proxy did, and the orders of both may be
    /// executed within `min_alternation_interval` of a new order of this proxy.
    out_of_turn,
};

struct claim_check {
    claim_state state{claim_state::own};
    /// For how long the claim keeps the proxy from claiming the service; 0 if it does not.
    std::chrono::milliseconds wait{0};

    [[nodiscard]] bool blocks() const noexcept { return wait > std::chrono::milliseconds{0}; }
};

/// Decides whether a proxy may claim a service to replace a failed or leaving primary.
///
/// A proxy whose orders may still be executed does not order again after another proxy did: the
/// platform could execute the orders of both alternately. The last proxy that ordered may continue
/// at any time. If that proxy does not respond any more, the wait ends with its claim, so that the
/// primary is replaced.
[[nodiscard]] claim_check check_promotion(const promotion_claim& before, const claim_request& by);

/// Decides whether a proxy may claim a service to hand its primary over. Unlike a promotion, a
/// handover can wait.
[[nodiscard]] claim_check check_handover(const promotion_claim& before, const claim_request& by);

/// `check_promotion` or `check_handover`.
using claim_check_function = claim_check (*)(const promotion_claim&, const claim_request&);

/// Returns the claimants of a claim that `proxy` makes at `at`, from those of the claim before it.
[[nodiscard]] std::vector<recent_claimant> claimants_after(std::span<const recent_claimant> before,
                                                           std::string_view proxy, std::chrono::milliseconds at);

/// Records that an order under the claim was executed by `at`. The platform refuses all orders with
/// lower fencing tokens from then on. `repeated` is true if an order with the same token got no
/// response, so that it may be executed later.
void record_execution(promotion_claim& claim, std::chrono::milliseconds at, bool repeated);

/// Returns the latest time of the store's clock by which all orders sent under a claim of this time
/// are executed or refused.
[[nodiscard]] constexpr std::chrono::milliseconds orders_done_after(std::chrono::milliseconds claimed_at) {
    return claimed_at + claim_lease + max_order_delay;
}

[[nodiscard]] std::string_view to_string(claim_state state) noexcept;

[[nodiscard]] std::string encode(const promotion_claim& claim);

/// Returns nullopt if the text is not a claim, such as the empty value of a row that does not
/// exist.
[[nodiscard]] std::optional<promotion_claim> decode_claim(std::string_view text);

} // namespace cornellever::cluster
