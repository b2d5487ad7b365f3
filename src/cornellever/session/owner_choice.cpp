#include "cornellever/session/owner_choice.hpp"

#include <iterator>

#include "cornellever/core/stable_hash.hpp"

namespace cornellever::session {

namespace {

/// The part of a route's target that a session may wait at its owner before it moves. A move costs a replay of the
/// session's values and perhaps a new connection to a server, which a shorter wait does not repay.
constexpr int target_parts = 4;

/// The part of its sessions at an owner that a relay moves after one report.
constexpr std::size_t session_parts = 4;

} // namespace

bool is_better_owner(const owner_load& current, const owner_load& other, std::chrono::milliseconds target,
                     boot_clock::time_point now) {
    const auto recent = [now](const owner_load& item) { return now - item.reported_at <= max_load_age; };
    return target.count() > 0 && recent(current) && recent(other) && current.expected_wait * target_parts > target &&
           other.expected_wait * 2 < current.expected_wait;
}

std::size_t moves_allowed(std::size_t sessions, std::uint64_t turn) {
    if (sessions >= session_parts) {
        return sessions / session_parts;
    }
    return turn % session_parts < std::max<std::size_t>(1, sessions) ? 1 : 0;
}

void owner_choice::record_load(const std::string& service, const std::string& owner, const owner_load& load) {
    const auto [item, added] = m_owners[service].try_emplace(owner);
    auto& at = item->second;
    if (added) {
        at.turn = stable_hash({m_relay, "/", owner});
    }
    if (!added && load.reported_at <= at.load.reported_at) {
        return;
    }
    at.load = load;
    if (load.reported_at - at.allowed_at >= min_move_interval) {
        at.allowed_at = load.reported_at;
        at.moves_left.reset();
        ++at.turn;
    }
}

void owner_choice::record_statement(const std::string& service, std::chrono::nanoseconds took, bool refused,
                                    std::chrono::milliseconds target, time_point now) {
    if (refused || (target.count() > 0 && took * target_parts > target)) {
        m_slow_at[service] = now;
    }
}

std::set<std::string, std::less<>> owner_choice::services_under_load(time_point now) const {
    std::set<std::string, std::less<>> out;
    for (const auto& [service, at] : m_slow_at) {
        if (now - at <= max_load_age) {
            out.insert(service);
        }
    }
    return out;
}

std::optional<owner_load> owner_choice::load_of(std::string_view service, std::string_view owner) const {
    const auto of_service = m_owners.find(service);
    if (of_service == m_owners.end()) {
        return std::nullopt;
    }
    const auto found = of_service->second.find(owner);
    return found == of_service->second.end() ? std::nullopt : std::optional{found->second.load};
}

const proxy_node* owner_choice::better_owner(std::string_view service, std::span<const proxy_node> order,
                                             std::string_view current, std::chrono::milliseconds target,
                                             time_point now) const {
    const auto at = std::ranges::find(order, current, &proxy_node::name);
    if (at == order.end() || order.size() < 2) {
        return nullptr;
    }
    const auto& next = std::next(at) == order.end() ? order.front() : *std::next(at);
    const auto own_load = load_of(service, current);
    const auto other_load = load_of(service, next.name);
    return own_load && other_load && is_better_owner(*own_load, *other_load, target, now) ? &next : nullptr;
}

owner_choice::owner_state* owner_choice::find(std::string_view service, std::string_view owner) {
    const auto of_service = m_owners.find(service);
    if (of_service == m_owners.end()) {
        return nullptr;
    }
    const auto found = of_service->second.find(owner);
    return found == of_service->second.end() ? nullptr : &found->second;
}

} // namespace cornellever::session
