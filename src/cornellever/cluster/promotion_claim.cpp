#include "cornellever/cluster/promotion_claim.hpp"

#include <sstream>

namespace cornellever::cluster {

namespace {

/// How long a claim keeps the other proxies from replacing the same primary. A promotion takes about
/// 1.2 s from the order until the new primary is confirmed.
constexpr std::chrono::milliseconds claim_lease{2600};

/// How long no primary is handed over after any claim on the service. A handover stops writes for up
/// to 1.2 s, so this bounds the time without writes to an eighth.
constexpr std::chrono::milliseconds handover_interval{10'000};

/// Written in place of an empty field.
constexpr std::string_view empty_field = "-";

std::string_view field_of(const std::string& text) {
    return text.empty() ? empty_field : std::string_view{text};
}

} // namespace

claim_state classify(const promotion_claim& before, std::string_view old, std::string_view claimant,
                     std::chrono::milliseconds store_time) {
    if (before.holder == claimant) {
        return claim_state::own;
    }
    if (before.replaces != old) {
        return claim_state::other_primary;
    }
    return store_time - before.at < claim_lease ? claim_state::held : claim_state::expired;
}

std::string_view to_string(claim_state state) noexcept {
    switch (state) {
    case claim_state::own:
        return "own";
    case claim_state::other_primary:
        return "other_primary";
    case claim_state::expired:
        return "expired";
    case claim_state::held:
        return "held";
    }
    return "unknown";
}

bool blocks_handover(const promotion_claim& before, std::chrono::milliseconds store_time) {
    return store_time - before.at < handover_interval;
}

std::string encode(const promotion_claim& claim) {
    std::ostringstream out;
    out << claim.holder << ' ' << field_of(claim.replaces) << ' ' << field_of(claim.successor) << ' ' << claim.number
        << ' ' << claim.at.count();
    return std::move(out).str();
}

std::optional<promotion_claim> decode_claim(std::string_view text) {
    std::istringstream in{std::string{text}};
    promotion_claim out;
    long long at_ms = 0;
    if (!(in >> out.holder >> out.replaces >> out.successor >> out.number >> at_ms)) {
        return std::nullopt;
    }
    if (out.replaces == empty_field) {
        out.replaces.clear();
    }
    out.at = std::chrono::milliseconds{at_ms};
    return out;
}

} // namespace cornellever::cluster
