#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/connection_ownership.hpp"

namespace cornellever::session {

/// Whether a relayed session that is open at the proxy `peer` should move to a current owner. This is the case if
/// `peer` is no longer an owner, as after a partition during which the proxies on its side chose owners among
/// themselves, and at least one owner is `reachable` as far as this proxy knows.
template <std::predicate<const proxy_node&> Reachable>
[[nodiscard]] bool should_return(const connection_ownership& ownership, std::string_view peer, Reachable reachable) {
    return !ownership.owns(peer) && std::ranges::any_of(ownership.owners, reachable);
}

/// An owner's load as it reported it.
struct owner_load {
    /// A time on this proxy's clock that is not later than the report.
    boot_clock::time_point reported_at{};
    /// How long a request that arrives at the owner is expected to wait for a connection; 0 if no request waits there.
    std::chrono::milliseconds expected_wait{0};
};

/// Maximum age of a report. Heartbeats are 0.5 s apart, so one may be lost.
inline constexpr std::chrono::milliseconds max_load_age{1200};

/// Whether a session with the target latency `target` should move from its owner to another one. It moves if its
/// owner's wait uses up more than a quarter of the target and the other owner's wait is less than half as long. Without
/// recent reports of both it stays.
[[nodiscard]] bool is_better_owner(const owner_load& current, const owner_load& other, std::chrono::milliseconds target,
                                   boot_clock::time_point now);

/// Returns how many of the `sessions` that a relay has at an owner it may move after one report of that owner: a
/// quarter, because the other owner's next report shows the effect of these moves only after half a second. A relay
/// with fewer than four sessions moves one after as many of four reports as it has sessions. `turn` numbers the
/// reports, with a different start at each relay, so that relays with one session each do not all move it after the
/// same report.
[[nodiscard]] std::size_t moves_allowed(std::size_t sessions, std::uint64_t turn);

/// Decides at which connection owner a relaying proxy runs a session, from the loads that the owners report.
class owner_choice {
public:
    using time_point = boot_clock::time_point;

    explicit owner_choice(std::string relay) : m_relay{std::move(relay)} {}

    /// Records an owner's report. Reports may arrive out of order.
    void record_load(const std::string& service, const std::string& owner, const owner_load& load);

    /// Records that a relayed statement took `took`, or that it was refused because of load.
    void record_statement(const std::string& service, std::chrono::nanoseconds took, bool refused,
                          std::chrono::milliseconds target, time_point now);

    /// Returns the services whose owners this proxy should ask for their load, because statements that it relayed
    /// within the last `max_load_age` may have waited for more than a quarter of their target.
    [[nodiscard]] std::set<std::string, std::less<>> services_under_load(time_point now) const;

    /// Returns the load that an owner last reported, or nothing if it never reported.
    [[nodiscard]] std::optional<owner_load> load_of(std::string_view service, std::string_view owner) const;

    /// Returns the owner to which a session at `current` should move, which is the next one in the session's `order` of
    /// owners, or null if the session should stay.
    [[nodiscard]] const proxy_node* better_owner(std::string_view service, std::span<const proxy_node> order,
                                                 std::string_view current, std::chrono::milliseconds target,
                                                 time_point now) const;

    /// Whether one more session may leave `owner` after its latest report; if so, the move is counted. `count_sessions`
    /// returns how many sessions of the service are at the owner and is called at most once for each report.
    template <std::invocable Count>
    [[nodiscard]] bool take_move(std::string_view service, std::string_view owner, Count count_sessions) {
        auto* at = find(service, owner);
        if (at == nullptr) {
            return false;
        }
        if (!at->moves_left) {
            at->moves_left = moves_allowed(count_sessions(), at->turn);
        }
        if (*at->moves_left == 0) {
            return false;
        }
        --*at->moves_left;
        return true;
    }

private:
    struct owner_state {
        owner_load load{};
        /// Sessions that may still leave after the report that allowed moves last; nothing until they are counted.
        std::optional<std::size_t> moves_left{};
        /// When the report arrived that allowed moves last.
        time_point allowed_at{};
        std::uint64_t turn{0};
    };

    /// Minimum time between two reports that each allow moves. Heartbeats are 0.5 s apart but more frequent while a
    /// primary is suspected, and the effect of moves must be reported before the next moves.
    static constexpr std::chrono::milliseconds min_move_interval{400};

    [[nodiscard]] owner_state* find(std::string_view service, std::string_view owner);

    std::string m_relay;
    /// By service, then by the owner's name.
    std::map<std::string, std::map<std::string, owner_state, std::less<>>, std::less<>> m_owners;
    /// When a relayed statement of a service was last slow or refused because of load.
    std::map<std::string, time_point, std::less<>> m_slow_at;
};

} // namespace cornellever::session
