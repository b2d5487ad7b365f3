#pragma once

#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "cornellever/cluster/metadata_store.hpp"
#include "cornellever/cluster/store_watch.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever::cluster {

/// Rows of a table by key.
using table_rows = std::map<std::string, store_row, std::less<>>;

/// Keeps a copy of a metadata store table up to date. Reads the whole table, then long-polls for
/// changes or relies on peers, as its watch mode says; reads the whole table again if the change
/// history was discarded. Retries after every failure.
template <metadata_store Store>
class table_follower {
public:
    /// Receives the rows and the version of the last change to any of them; returns whether the
    /// rows could be applied.
    using on_change = std::function<bool(const table_rows& rows, std::uint64_t version)>;
    /// Receives a time at which the store confirmed the copy as current.
    using on_current = std::function<void(boot_clock::time_point at)>;

    /// `mode` is called before each query. A broken connection that reports no error is detected
    /// when the long poll that it set and the store client's call timeout have passed.
    table_follower(
        Store& store, std::string table, std::function<watch_mode()> mode, on_change changed,
        on_current current = [](boot_clock::time_point) {})
        : m_store{store}
        , m_table{std::move(table)}
        , m_mode{std::move(mode)}
        , m_changed{std::move(changed)}
        , m_current{std::move(current)} {}

    /// Runs until the event loop ends.
    asio::awaitable<void> run() {
        for (;;) {
            co_await wait_until_query_needed();
            m_queried_at = boot_clock::now();
            // After a failure the store is queried without waiting for changes; a long poll would
            // delay noticing that it has recovered.
            const auto mode = m_mode();
            const auto wait = m_failures > 0 || !mode.polls_store ? std::chrono::milliseconds{0} : mode.confirm_within;
            auto got = co_await query(wait);
            if (got) {
                record_success();
                const bool changes = !got->rows.empty();
                apply(std::move(*got));
                mark_current(changes ? std::chrono::milliseconds{0} : wait);
                continue;
            }
            if (got.error().code == errc::behind) {
                log_event(event::store_regained,
                          "table=" + m_table + " reason=history_gone version=" + std::to_string(m_version));
                m_loaded = false;
                continue;
            }
            record_failure(got.error(), m_mode());
            co_await sleep_for(next_backoff());
        }
    }

    /// Whether the store answered the last query.
    [[nodiscard]] bool reachable() const noexcept { return m_failures == 0 && m_version != 0; }

private:
    static constexpr std::chrono::milliseconds initial_backoff{80};
    static constexpr std::chrono::milliseconds max_backoff{700};

    static constexpr std::chrono::milliseconds peer_check_period{100};

    /// Least time between two queries made because a peer holds a newer version; the peer may be
    /// wrong.
    static constexpr std::chrono::milliseconds min_query_interval{400};

    /// Retry interval of a proxy that the store refuses while its peers keep its copy current. It
    /// needs to know that the store answers it again only to take part in promotions in its regular
    /// order, and without the store it does so 2 s later. If the store is down for all, this keeps
    /// most proxies from querying it often: every attempt of every proxy counts as a call.
    static constexpr std::chrono::milliseconds unreachable_retry_interval{5000};

    /// Spreads the queries of all proxies to a store that has just recovered.
    static constexpr std::chrono::milliseconds recovery_spread{500};

    /// Waits as long as peers keep this proxy's copy current.
    asio::awaitable<void> wait_until_query_needed() {
        while (relies_on_peers(m_mode())) {
            co_await sleep_for(peer_check_period);
        }
    }

    /// Whether this proxy has the table, from the store or from a peer.
    [[nodiscard]] bool has_copy(const watch_mode& mode) const {
        return m_loaded || mode.confirmed_current_at != boot_clock::time_point{};
    }

    [[nodiscard]] bool relies_on_peers(const watch_mode& mode) const {
        if (mode.polls_store || !has_copy(mode)) {
            return false;
        }
        const auto now = boot_clock::now();
        const bool current = now - std::max(mode.confirmed_current_at, m_current_at) < mode.confirm_within;
        if (m_failures > 0) {
            return now < m_retry_at && !(current && !m_was_current);
        }
        return current && !(mode.behind && now - m_queried_at >= min_query_interval);
    }

    asio::awaitable<result<store_rows>> query(std::chrono::milliseconds wait) {
        if (!m_loaded) {
            return m_store.list(m_table);
        }
        return m_store.changes(m_table, m_version, wait);
    }

    /// Records the time for which an answer confirms the copy. An answer reflects the store when it
    /// was given: after the query arrived and, if a long poll ended without changes, after its full
    /// duration. An answer with changes was given as soon as there were any, however late it
    /// arrives.
    void mark_current(std::chrono::milliseconds waited) {
        const auto now = boot_clock::now();
        m_current_at = std::max(m_current_at, now - m_queried_at >= waited ? m_queried_at + waited : m_queried_at);
        // If the rows were rejected, an older copy is still in force and must not count as current.
        if (m_applied) {
            m_current(m_current_at);
        }
    }

    void apply(store_rows got) {
        const bool first = !m_loaded;
        if (first) {
            m_rows.clear();
            m_loaded = true;
        }
        bool changed = first;
        for (auto& row : got.rows) {
            changed = true;
            m_last_change = std::max(m_last_change, row.version);
            if (row.deleted) {
                m_rows.erase(row.key);
            } else {
                m_rows.insert_or_assign(row.key, row);
            }
        }
        m_version = std::max(m_version, got.version);
        if (changed) {
            m_applied = notify();
        }
    }

    /// Invalid rows must not end the follower loop: if an exception left it, this proxy would never
    /// get another change.
    bool notify() {
        try {
            return m_changed(m_rows, m_last_change);
        } catch (const std::exception& problem) {
            log_event(event::table_not_taken, "table=" + m_table + " version=" + std::to_string(m_version) +
                                                  " reason=\"" + problem.what() + "\"");
            return false;
        }
    }

    void record_success() {
        if (m_failures > 0) {
            log_event(event::store_regained, "table=" + m_table + " failures=" + std::to_string(m_failures) +
                                                 " version=" + std::to_string(m_version));
        }
        m_failures = 0;
    }

    void record_failure(const error& why, const watch_mode& mode) {
        const auto now = boot_clock::now();
        m_was_current = now - std::max(mode.confirmed_current_at, m_current_at) < mode.confirm_within;
        m_retry_at = now + random_between(unreachable_retry_interval / 2, unreachable_retry_interval);
        if (++m_failures == 1) {
            log_event(event::store_lost,
                      "table=" + m_table + " reason=\"" + why.message + "\" version=" + std::to_string(m_version));
        }
    }

    /// Doubles with each failure and is randomised, so that the proxies do not all query a
    /// recovering store at once.
    std::chrono::milliseconds next_backoff() {
        const auto mode = m_mode();
        if (!mode.polls_store && has_copy(mode)) {
            return random_between(std::chrono::milliseconds{0}, recovery_spread);
        }
        const auto longest = std::min(initial_backoff * (1 << std::min(m_failures, 4)), max_backoff);
        return random_between(longest / 2, longest);
    }

    std::chrono::milliseconds random_between(std::chrono::milliseconds least, std::chrono::milliseconds most) {
        std::uniform_int_distribution<long long> between{least.count(), most.count()};
        return std::chrono::milliseconds{between(m_random)};
    }

    Store& m_store;
    std::string m_table;
    std::function<watch_mode()> m_mode;
    on_change m_changed;
    on_current m_current;
    table_rows m_rows;
    std::uint64_t m_version{0};
    /// The newest version of a row. The store's own version also grows with changes to other
    /// tables, and would look newer to peers that read this table earlier although nothing in it
    /// changed.
    std::uint64_t m_last_change{0};
    bool m_loaded{false};
    bool m_applied{false};
    int m_failures{0};
    boot_clock::time_point m_queried_at{};
    /// Time for which the store last confirmed the copy as current.
    boot_clock::time_point m_current_at{};
    /// Whether the copy was current nevertheless at the last failure, and when a proxy that relies
    /// on its peers tries the store again.
    bool m_was_current{false};
    boot_clock::time_point m_retry_at{};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster
