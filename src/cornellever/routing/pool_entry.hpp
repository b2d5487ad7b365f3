#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/backend_link.hpp"
#include "cornellever/routing/lead_doubt.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/replica_progress.hpp"
#include "cornellever/session/connection_session_state.hpp"

namespace cornellever::routing {

template <backend_link Link>
struct pool_entry;

/// A pooled connection and what is known of it.
template <backend_link Link>
struct pooled_slot {
    std::unique_ptr<Link> connection;
    pool_entry<Link>* home{nullptr};
    /// The server was told this account when the connection was opened, and
    /// takes all statements on it for that account's; empty for the proxy's own.
    std::string account{};
    /// When it was last handed back.
    boot_clock::time_point used_at{};
    session::connection_session_state memory;
    /// In use by a request, or by the pool's own housekeeping.
    bool busy{false};
    /// Held by a transaction whose caller is between two statements.
    bool resting{false};
    /// A statement runs on it whose answer is awaited.
    bool awaiting{false};
    /// The answer is late by so much that it is taken to be lost.
    bool overdue{false};
    /// A transaction that the server accepted as its primary is open and
    /// unused. A read in it is refused once the server has lost the lead, so
    /// it needs no other proof of freshness.
    bool armed{false};
    /// When that transaction was opened.
    boot_clock::time_point armed_at{};
    /// When the statements were sent whose answers are still owed.
    boot_clock::time_point sent_at{};
};

/// How long statements take at a server, as a moving average that goes back to
/// the ordinary while the server is not used: a server that was slow once is
/// tried again.
class typical_time {
public:
    void record(boot_clock::time_point now, std::chrono::duration<double, std::milli> took) {
        m_ms = value(now) + weight * (took.count() - value(now));
        m_at = now;
    }

    [[nodiscard]] double value(boot_clock::time_point now) const {
        const double idle_s = std::chrono::duration<double>(now - m_at).count();
        return ordinary_ms + (m_ms - ordinary_ms) * std::exp2(-idle_s / half_life_s);
    }

private:
    /// About the mean work of today's statements.
    static constexpr double ordinary_ms = 10.0;
    static constexpr double weight = 0.15;
    static constexpr double half_life_s = 1.5;

    double m_ms{ordinary_ms};
    boot_clock::time_point m_at{};
};

/// How late an answer has to be to count as lost, where statements usually take
/// `typical_ms`. An answer that is lost on its way leaves its connection mute
/// until the statement's own timeout (800 ms for a write, which must not be run
/// again); were that the only one, everything else would wait as long. One in a
/// hundred statements takes five times the usual.
[[nodiscard]] inline std::chrono::milliseconds overdue_after(double typical_ms) {
    constexpr std::chrono::milliseconds shortest{100};
    constexpr double times_typical = 4.0;
    return std::max(shortest, std::chrono::milliseconds{std::llround(times_typical * typical_ms)});
}

/// One backend server, its connections, and what was seen of it.
template <backend_link Link>
struct pool_entry {
    using time_point = boot_clock::time_point;

    backend_server server;
    std::vector<std::unique_ptr<pooled_slot<Link>>> slots;
    /// Connections being opened, and for whom where it is for an account.
    std::size_t opening{0};
    std::vector<std::string> opening_for;
    /// No connection is opened before that: the last try failed.
    time_point open_after{};
    int failed_opens{0};
    /// When it last refused a connection for having too many.
    time_point full_at{};
    typical_time typical;
    std::size_t in_flight{0};
    /// How far it has applied the log, where it is a replica.
    replica_progress progress;
    lead_doubt doubt;
    /// Since when it leads with an empty log while another registered server,
    /// which may hold its commits, has not answered.
    std::optional<time_point> empty_since;
    /// The last answer of any kind, and the last sign that nobody answers.
    time_point heard_at{};
    time_point refused_at{};
    time_point silent_at{};
    /// No longer registered, or started again; kept until its connections are
    /// handed back.
    bool gone{false};
    /// Set where the server started again: a lead that was proved before was
    /// that of its process before.
    time_point since{};
    /// When it was first seen to be leaving.
    std::optional<time_point> draining_since;

    /// Whether it is not used for that: the other server may still answer.
    [[nodiscard]] bool awaits_witness(time_point now) const { return empty_since && now - *empty_since < witness_wait; }

    /// Connections open or being opened.
    [[nodiscard]] std::size_t held() const noexcept { return slots.size() + opening; }

    /// Any connection that is not in use; null when there is none.
    [[nodiscard]] pooled_slot<Link>* any_idle() const {
        const auto found = std::ranges::find_if(slots, [](const auto& item) { return !item->busy; });
        return found == slots.end() ? nullptr : found->get();
    }

    /// The connection that has been idle for longest among those whose account
    /// `spares` holds for; null when there is none.
    template <std::predicate<const std::string&> Spares>
    [[nodiscard]] pooled_slot<Link>* longest_idle(Spares spares) const {
        pooled_slot<Link>* out = nullptr;
        for (const auto& item : slots) {
            if (!item->busy && spares(item->account) && (out == nullptr || item->used_at < out->used_at)) {
                out = item.get();
            }
        }
        return out;
    }

    /// Connections of an account that can run a statement, or will.
    [[nodiscard]] std::size_t useful_of(std::string_view account) const {
        const auto open = std::ranges::count_if(
            slots, [&](const auto& item) { return item->account == account && !item->resting && !item->overdue; });
        return static_cast<std::size_t>(open + std::ranges::count(opening_for, account));
    }

    /// Idle connections of an account.
    [[nodiscard]] std::size_t idle_of(std::string_view account) const {
        return static_cast<std::size_t>(
            std::ranges::count_if(slots, [&](const auto& item) { return !item->busy && item->account == account; }));
    }

    [[nodiscard]] std::size_t idle() const {
        return static_cast<std::size_t>(std::ranges::count_if(slots, [](const auto& item) { return !item->busy; }));
    }

    /// Connections in use, but for those that rest in a transaction and those
    /// whose answer is overdue.
    [[nodiscard]] std::size_t working() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            slots, [](const auto& item) { return item->busy && !item->resting && !item->overdue; }));
    }

    [[nodiscard]] std::size_t overdue() const {
        return static_cast<std::size_t>(std::ranges::count_if(slots, [](const auto& item) { return item->overdue; }));
    }

    /// Marks the connections whose answer has become overdue; whether any has.
    bool mark_overdue(time_point now) {
        const auto limit = overdue_after(typical.value(now));
        bool out = false;
        for (auto& item : slots) {
            if (item->awaiting && !item->overdue && now - item->sent_at > limit) {
                item->overdue = true;
                out = true;
            }
        }
        return out;
    }

    /// Whether nobody answered since the last answer.
    [[nodiscard]] bool unreachable() const noexcept { return std::max(refused_at, silent_at) > heard_at; }

private:
    /// Longer than most servers take to start again.
    static constexpr std::chrono::milliseconds witness_wait{5000};
};

} // namespace cornellever::routing
