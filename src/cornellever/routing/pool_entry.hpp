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
#include "cornellever/routing/statement_tally.hpp"
#include "cornellever/session/connection_session_state.hpp"

namespace cornellever::routing {

template <backend_link Link>
struct pool_entry;

/// A pooled connection and its state.
template <backend_link Link>
struct pooled_slot {
    std::unique_ptr<Link> connection;
    /// The server that the connection leads to.
    pool_entry<Link>* server_entry{nullptr};
    /// The account that the connection was opened for. The server attributes all statements on the connection to that
    /// account. Empty if the connection was opened for the proxy itself or for requests without an account.
    std::string account{};
    /// When the connection had been opened. The server's process has not changed since then.
    boot_clock::time_point opened_at{};
    /// When the connection last became idle.
    boot_clock::time_point returned_at{};
    /// Session state that is set up on the connection.
    session::connection_session_state memory;
    /// Whether the connection is checked out by a request or used by the pool itself, for example to confirm
    /// leadership.
    bool busy{false};
    /// Whether the connection is held by a transaction that is between two statements.
    bool idle_in_transaction{false};
    /// Whether a request is waiting for the reply to a statement on the connection.
    bool awaiting_reply{false};
    /// Whether the reply is so late that it is presumed lost (see `overdue_after`).
    bool overdue{false};
    /// Whether the connection is primed, which means that the proxy opened a read-write transaction on it ahead of use.
    /// Only the primary accepts such a transaction. A read in this transaction needs no other check of freshness,
    /// because the server refuses the read once it is no longer the primary.
    bool primed{false};
    /// When the statement that opened the primed transaction was sent.
    boot_clock::time_point primed_at{};
    /// When the last batch was sent on the connection.
    boot_clock::time_point sent_at{};
};

/// Exponential moving average of the statement time on a server. The average decays to a default while the server is
/// unused, so that a server that was slow once is tried again.
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
    /// About the mean execution time of a statement.
    static constexpr double default_ms = 10.0;
    static constexpr double weight = 0.15;
    static constexpr double half_life_s = 1.5;

    double m_ms{default_ms};
    boot_clock::time_point m_at{};
};

/// Returns the delay after which a reply is presumed lost, given the average statement time. A lost reply blocks its
/// connection until the statement times out (800 ms for a write, which must not be retried). If this is the only
/// connection, all other requests wait that long too. One in a hundred statements takes five times the average, so a
/// reply that is presumed lost may still arrive.
[[nodiscard]] inline std::chrono::milliseconds overdue_after(double statement_time_ms) {
    constexpr std::chrono::milliseconds shortest{100};
    constexpr double multiple = 4.0;
    return std::max(shortest, std::chrono::milliseconds{std::llround(multiple * statement_time_ms)});
}

/// One backend server (`server`), its pooled connections and its observed state.
template <backend_link Link>
struct pool_entry {
    using time_point = boot_clock::time_point;

    backend_server server;
    std::vector<std::unique_ptr<pooled_slot<Link>>> open_connections;
    /// Number of connections being opened, and the accounts of those that are opened for an account.
    std::size_t opening{0};
    std::vector<std::string> opening_for;
    /// The time before which no connection is opened, as a backoff after failed attempts.
    time_point open_after{};
    int failed_opens{0};
    /// When the server last refused a connection with `too_many_connections`.
    time_point limit_reached_at{};
    statement_time_average statement_time;
    statement_tally statements;
    /// Statements that this proxy is running on the server.
    std::size_t in_flight{0};
    /// How far the server has applied the log; unused for the primary.
    replica_progress progress;
    leadership_backoff refusal_backoff;
    /// When the request was sent whose reply last reported the server's log position.
    time_point position_asked_at{};
    /// When this proxy found the server to be a primary with an empty log that may have held commits before. Reset once
    /// every other registered server has reported its position since, or once the log has entries.
    std::optional<time_point> empty_log_since;
    /// When this proxy last knew that the server's empty log has lost no commits; the clock's epoch if never, or if the
    /// log has entries. A connection that was open then shows the same of its process for as long as it works.
    time_point empty_log_proven_at{};
    /// Whether this proxy promoted the server with an empty log. The promotion rolled back all earlier commits.
    bool promoted_with_empty_log{false};
    /// The times of the last reply of any kind, the last refused connection and the last timeout.
    time_point last_contact_at{};
    time_point refused_at{};
    time_point timed_out_at{};
    /// Whether the server was deregistered or restarted. The entry is kept until the connections have been returned to
    /// the pool.
    bool retired{false};
    /// Leadership confirmations (replies that show that the server is the primary) do not count if they were requested
    /// at or before this time. Set when the server restarted or lost its log.
    time_point leadership_valid_after{};
    /// Since when the server has been draining, as in `drain_times`.
    std::optional<time_point> draining_since;

    /// Whether `connection` was opened after the server's empty log was last known to have lost no commits. The server
    /// may have restarted in between.
    [[nodiscard]] bool needs_new_proof(const pooled_slot<Link>& connection) const noexcept {
        return empty_log_proven_at != time_point{} && connection.opened_at > empty_log_proven_at;
    }

    /// Connections that are open or being opened.
    [[nodiscard]] std::size_t held() const noexcept { return open_connections.size() + opening; }

    /// Returns any idle connection, or null if there is none.
    [[nodiscard]] pooled_slot<Link>* any_idle() const {
        const auto found = std::ranges::find_if(open_connections, [](const auto& item) { return !item->busy; });
        return found == open_connections.end() ? nullptr : found->get();
    }

    /// Returns the least recently used idle connection whose account `matches` accepts, or null if there is none.
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

    /// Number of connections of an account that can run a statement now or soon, including those being opened.
    [[nodiscard]] std::size_t usable_count(std::string_view account) const {
        const auto open = std::ranges::count_if(open_connections, [&](const auto& item) {
            return item->account == account && !item->idle_in_transaction && !item->overdue;
        });
        return static_cast<std::size_t>(open + std::ranges::count(opening_for, account));
    }

    [[nodiscard]] std::size_t idle_count(std::string_view account) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            open_connections, [&](const auto& item) { return !item->busy && item->account == account; }));
    }

    [[nodiscard]] std::size_t idle() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(open_connections, [](const auto& item) { return !item->busy; }));
    }

    /// Number of connections in use, except those idle in a transaction and those whose reply is overdue.
    [[nodiscard]] std::size_t active_count() const {
        return static_cast<std::size_t>(std::ranges::count_if(open_connections, [](const auto& item) {
            return item->busy && !item->idle_in_transaction && !item->overdue;
        }));
    }

    [[nodiscard]] std::size_t overdue() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(open_connections, [](const auto& item) { return item->overdue; }));
    }

    /// Marks the connections whose reply has become overdue. Returns whether any connection was newly marked.
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

    /// Whether the last attempt to reach the server was refused or timed out.
    [[nodiscard]] bool unreachable() const noexcept { return std::max(refused_at, timed_out_at) > last_contact_at; }
};

} // namespace cornellever::routing
