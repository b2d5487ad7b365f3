#include "cornellever/cluster/promotion_claim.hpp"

#include <algorithm>
#include <sstream>

namespace cornellever::cluster {

namespace {

using std::chrono::milliseconds;

/// How long a claim lasts if its holder has stopped responding to heartbeats. Longer than the
/// interval at which a live holder renews its claim, because a network partition may hide it.
constexpr milliseconds silent_holder_lease{1600};

/// How long no primary is handed over after any claim on the service. A handover stops writes for up
/// to 1.2 s, so this bounds the time without writes to an eighth.
constexpr milliseconds handover_interval{10'000};

/// Written in place of an empty field.
constexpr std::string_view empty_field = "-";
constexpr std::string_view open_field = "open";
constexpr std::string_view completed_field = "completed";

std::string_view field_of(const std::string& text) {
    return text.empty() ? empty_field : std::string_view{text};
}

/// Returns how much of a span that began at `begin` is left. A begin in the future by more than the
/// span is a time of another clock: the store may have been restored.
milliseconds remaining(milliseconds begin, milliseconds span, milliseconds now) {
    const auto left = begin + span - now;
    return left > 2 * span ? milliseconds{0} : std::max(left, milliseconds{0});
}

/// Returns how long `proxy` has to wait because another proxy claimed the service after it.
milliseconds wait_for_turn(const promotion_claim& before, const claim_request& by) {
    const auto own = std::ranges::find(before.claimants, by.proxy, &recent_claimant::proxy);
    if (own == before.claimants.end() || std::next(own) == before.claimants.end()) {
        return milliseconds{0};
    }
    const auto latest = std::min(own->orders_done_at, orders_done_after(by.store_time));
    return std::max(latest + min_alternation_interval - by.store_time, milliseconds{0});
}

} // namespace

claim_check check_promotion(const promotion_claim& before, const claim_request& by) {
    if (proxy_of(before.holder) == by.proxy) {
        return {claim_state::own};
    }
    const auto lease = remaining(before.at, by.holder_alive ? claim_lease : silent_holder_lease, by.store_time);
    // A claim that has not led to a new primary yet also excludes proxies that take another server
    // for the old primary.
    const bool same_change = before.replaces == by.old || (!before.completed && before.successor != by.old);
    if (same_change && lease > milliseconds{0}) {
        return {claim_state::held, lease};
    }
    if (by.holder_alive || lease > milliseconds{0}) {
        if (const auto turn = wait_for_turn(before, by); turn > milliseconds{0}) {
            return {claim_state::out_of_turn, turn};
        }
    }
    return {before.replaces == by.old ? claim_state::expired : claim_state::other_primary};
}

claim_check check_handover(const promotion_claim& before, const claim_request& by) {
    if (const auto left = remaining(before.at, handover_interval, by.store_time); left > milliseconds{0}) {
        return {claim_state::held, left};
    }
    if (const auto turn = wait_for_turn(before, by); turn > milliseconds{0}) {
        return {claim_state::out_of_turn, turn};
    }
    return {proxy_of(before.holder) == by.proxy ? claim_state::own : claim_state::expired};
}

std::vector<recent_claimant> claimants_after(std::span<const recent_claimant> before, std::string_view proxy,
                                             milliseconds at) {
    std::vector<recent_claimant> out;
    for (const auto& item : before) {
        const auto done_at = std::min(item.orders_done_at, orders_done_after(at));
        if (item.proxy != proxy && done_at + min_alternation_interval > at) {
            out.push_back({item.proxy, done_at});
        }
    }
    out.push_back({std::string{proxy}, orders_done_after(at)});
    return out;
}

void record_execution(promotion_claim& claim, milliseconds at, bool repeated) {
    for (auto& item : claim.claimants) {
        const bool holder = &item == &claim.claimants.back();
        if (!holder || !repeated) {
            item.orders_done_at = std::min(item.orders_done_at, at);
        }
    }
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
    case claim_state::out_of_turn:
        return "out_of_turn";
    }
    return "unknown";
}

std::string encode(const promotion_claim& claim) {
    std::ostringstream out;
    out << claim.holder << ' ' << field_of(claim.replaces) << ' ' << field_of(claim.successor) << ' ' << claim.number
        << ' ' << claim.at.count() << ' ' << (claim.completed ? completed_field : open_field);
    for (const auto& item : claim.claimants) {
        out << ' ' << item.proxy << ' ' << item.orders_done_at.count();
    }
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
    out.at = milliseconds{at_ms};
    std::string state;
    in >> state;
    out.completed = state == completed_field;
    recent_claimant item;
    for (long long done_ms = 0; in >> item.proxy >> done_ms;) {
        item.orders_done_at = milliseconds{done_ms};
        out.claimants.push_back(item);
    }
    if (out.claimants.empty()) {
        // Earlier versions write no claimants.
        out.claimants.push_back({std::string{proxy_of(out.holder)}, orders_done_after(out.at)});
    }
    return out;
}

} // namespace cornellever::cluster
