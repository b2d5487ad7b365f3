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
#include "cornellever/routing/leadership_backoff.hpp"
#include "cornellever/routing/model.hpp"
#include "cornellever/routing/replica_progress.hpp"
#include "cornellever/session/connection_memory.hpp"

namespace cornellever::routing {

template <backend_link Link>
struct pool_entry;

/// A pooled connection and what is known of it.
template <backend_link Link>
struct pooled_slot {
    std::unique_ptr<Link> connection;
    pool_entry<Link>* server_entry{nullptr};
    /// The server was told this account when the connection was opened, and
    /// takes all statements on it for that account's; empty for the proxy's own.
    std::string account{};
    /// When it was last handed back.
    boot_clock::time_point returned_at{};
    session::connection_memory memory;
    /// In use by a request, or by the pool's own housekeeping.
    bool busy{false};
    /// Held by a transaction whose caller is between two statements.
    bool idle_in_transaction{false};
    /// A statement runs on it whose answer is awaited.
    bool awaiting_reply{false};
    /// The answer is late by so much that it is taken to be lost.
    bool overdue{false};
    /// A transaction that the server accepted as its primary is open and
    /// unused. A read in it is refused once the server has lost the lead, so
    /// it needs no other proof of freshness.
    bool primed{false};
    /// When that transaction was opened.
    boot_clock::time_point primed_at{};
    /// When the statements were sent whose answers are still owed.
    boot_clock::time_point sent_at{};
};

/// How long statements take at a server, as a moving average that goes back to
/// the ordinary while the server is not used: a server that was slow once is
/// tried again.
class statement_time_average {
public:
    void record(boot_clock::time_point now, std::chrono::duration<double, std::milli> took) {
        m_ms = value(now) + weight * (took.count() - value(now));
        m_at = now;
    }

    [[nodiscard]] double value(boot_clock::time_point now) const {
        const double idle_s = std::chrono::duration<double>(now - m_at).count();
        return default_ms + (m_ms - default_ms) * std::exp2(-idle_s / half_life_s);
    }

private:
    /// About the mean work of today's statements.
    static constexpr double default_ms = 10.0;
    static constexpr double weight = 0.15;
    static constexpr double half_life_s = 1.5;

    double m_ms{default_ms};
    boot_clock::time_point m_at{};
};

/// How late an answer has to be to count as lost, where statements usually take
/// `statement_time_ms`. An answer that is lost on its way leaves its connection mute
/// until the statement's own timeout (800 ms for a write, which must not be run
/// again); were that the only one, everything else would wait as long. One in a
/// hundred statements takes five times the usual.
[[nodiscard]] inline std::chrono::milliseconds overdue_after(double statement_time_ms) {
    constexpr std::chrono::milliseconds shortest{100};
    constexpr double multiple = 4.0;
    return std::max(shortest, std::chrono::milliseconds{std::llround(multiple * statement_time_ms)});
}

/// One backend server, its connections, and what was seen of it.
template <backend_link Link>
struct pool_entry {
    using time_point = boot_clock::time_point;

    backend_server server;
    std::vector<std::unique_ptr<pooled_slot<Link>>> open_connections;
    /// Connections being opened, and for whom where it is for an account.
    std::size_t opening{0};
    std::vector<std::string> opening_for;
    /// No connection is opened before that: the last try failed.
    time_point open_after{};
    int failed_opens{0};
    /// When it last refused a connection for having too many.
    time_point limit_reached_at{};
    statement_time_average statement_time;
    std::size_t in_flight{0};
    /// How far it has applied the log, where it is a replica.
    replica_progress progress;
    leadership_backoff refusal_backoff;
    /// Since when it leads with an empty log while another registered server,
    /// which may hold its commits, has not answered.
    std::optional<time_point> empty_log_since;
    /// The last answer of any kind, and the last sign that nobody answers.
    time_point last_contact_at{};
    time_point refused_at{};
    time_point timed_out_at{};
    /// No longer registered, or started again; kept until its connections are
    /// handed back.
    bool retired{false};
    /// Set where the server started again: a lead that was proved before was
    /// that of its process before.
    time_point leadership_valid_after{};
    /// When it was first seen to be leaving.
    std::optional<time_point> draining_since;

    /// Whether it is not used for that: the other server may still answer.
    [[nodiscard]] bool awaits_other_logs(time_point now) const {
        return empty_log_since && now - *empty_log_since < other_logs_wait;
    }

    /// Connections open or being opened.
    [[nodiscard]] std::size_t held() const noexcept { return open_connections.size() + opening; }

    /// Any connection that is not in use; null when there is none.
    [[nodiscard]] pooled_slot<Link>* any_idle() const {
        const auto found = std::ranges::find_if(open_connections, [](const auto& item) { return !item->busy; });
        return found == open_connections.end() ? nullptr : found->get();
    }

    /// The connection that has been idle for longest among those whose account
    /// `matches` holds for; null when there is none.
    template <std::predicate<const std::string&> Predicate>
    [[nodiscard]] pooled_slot<Link>* longest_idle(Predicate matches) const {
        pooled_slot<Link>* out = nullptr;
        for (const auto& item : open_connections) {
            if (!item->busy && matches(item->account) && (out == nullptr || item->returned_at < out->returned_at)) {
                out = item.get();
            }
        }
        return out;
    }

    /// Connections of an account that can run a statement, or will.
    [[nodiscard]] std::size_t usable_count(std::string_view account) const {
        const auto open = std::ranges::count_if(open_connections, [&](const auto& item) {
            return item->account == account && !item->idle_in_transaction && !item->overdue;
        });
        return static_cast<std::size_t>(open + std::ranges::count(opening_for, account));
    }

    /// Idle connections of an account.
    [[nodiscard]] std::size_t idle_count(std::string_view account) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            open_connections, [&](const auto& item) { return !item->busy && item->account == account; }));
    }

    [[nodiscard]] std::size_t idle() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(open_connections, [](const auto& item) { return !item->busy; }));
    }

    /// Connections in use, but for those that rest in a transaction and those
    /// whose answer is overdue.
    [[nodiscard]] std::size_t active_count() const {
        return static_cast<std::size_t>(std::ranges::count_if(open_connections, [](const auto& item) {
            return item->busy && !item->idle_in_transaction && !item->overdue;
        }));
    }

    [[nodiscard]] std::size_t overdue() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(open_connections, [](const auto& item) { return item->overdue; }));
    }

    /// Marks the connections whose answer has become overdue; whether any has.
    bool mark_overdue(time_point now) {
        const auto limit = overdue_after(statement_time.value(now));
        bool out = false;
        for (auto& item : open_connections) {
            if (item->awaiting_reply && !item->overdue && now - item->sent_at > limit) {
                item->overdue = true;
                out = true;
            }
        }
        return out;
    }

    /// Whether nobody answered since the last answer.
    [[nodiscard]] bool unreachable() const noexcept { return std::max(refused_at, timed_out_at) > last_contact_at; }

private:
    /// Longer than most servers take to start again.
    static constexpr std::chrono::milliseconds other_logs_wait{5000};
};

} // namespace cornellever::routing
