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

/// Keeps a copy of a metadata store table up to date. Reads the whole table, then either long-polls
/// the store for changes or relies on peers, depending on its watch mode. Reads the whole table
/// again if the store discarded the change history. Retries after every failure.
template <metadata_store Store>
class table_follower {
public:
    /// Called with all rows and the version of the last change to any of them. Returns whether the
    /// rows could be applied.
    using on_change = std::function<bool(const table_rows& rows, std::uint64_t version)>;
    /// Called with a time for which the store confirmed the copy as current.
    using on_current = std::function<void(boot_clock::time_point at)>;

    /// `mode` is called before each query and sets the duration of the long poll. A connection that
    /// broke without an error is detected when this duration and the call timeout of the store
    /// client have passed.
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
            // After a failure, the store is queried without a long poll, so that its recovery is
            // noticed immediately.
            const auto mode = m_mode();
            const auto wait = m_failures > 0 || !mode.polls_store ? std::chrono::milliseconds{0} : mode.confirm_within;
            const bool whole_table = !m_loaded;
            auto got = co_await query(wait);
            if (got) {
                record_success();
                if (!whole_table) {
                    m_reread_pause = std::chrono::milliseconds{0};
                }
                const bool changes = !got->rows.empty();
                apply(std::move(*got));
                mark_current(changes ? std::chrono::milliseconds{0} : wait);
                continue;
            }
            if (got.error().code == errc::behind) {
                log_event(event::store_regained,
                          "table=" + m_table + " reason=history_gone version=" + std::to_string(m_version));
                m_loaded = false;
                co_await pause_before_rereading();
                continue;
            }
            record_failure(got.error(), m_mode());
            co_await sleep_for(next_backoff());
        }
    }

    /// Returns whether the store responded to the last query.
    [[nodiscard]] bool reachable() const noexcept { return m_failures == 0 && m_version != 0; }

private:
    static constexpr std::chrono::milliseconds initial_backoff{80};
    static constexpr std::chrono::milliseconds max_backoff{700};

    static constexpr std::chrono::milliseconds peer_check_period{100};

    /// Shortest time between two queries made because a peer reports a newer version. The report
    /// may be wrong, so it must not cause a query every `peer_check_period`.
    static constexpr std::chrono::milliseconds min_query_interval{400};

    /// How often a proxy retries if the store refuses it while its peers keep its copy current. A
    /// quick retry would gain little: the proxy only learns that it can take part in promotions in
    /// the regular order again, and without the store it takes part 2 s later. If the store is down
    /// for all proxies, this interval keeps most of them from querying it often; every attempt
    /// counts as a call.
    static constexpr std::chrono::milliseconds unreachable_retry_interval{5000};

    static constexpr std::chrono::milliseconds min_reread_pause{100};
    static constexpr std::chrono::milliseconds max_reread_pause{3000};

    /// Upper limit of the random delay that spreads the queries of all proxies to a store that has
    /// just recovered.
    static constexpr std::chrono::milliseconds recovery_spread{500};

    /// Waits until peers no longer keep this proxy's copy current.
    asio::awaitable<void> wait_until_query_needed() {
        while (relies_on_peers(m_mode())) {
            co_await sleep_for(peer_check_period);
        }
    }

    /// Waits before the whole table is read again. The first time there is no wait. If the history
    /// does not reach back to the version of the table just read, the store answers readings from an
    /// old copy, and reading again at once would only repeat that.
    asio::awaitable<void> pause_before_rereading() {
        if (m_reread_pause.count() > 0) {
            co_await sleep_for(random_between(m_reread_pause / 2, m_reread_pause));
        }
        m_reread_pause = std::clamp(2 * m_reread_pause, min_reread_pause, max_reread_pause);
    }

    /// Returns whether this proxy has a copy of the table, from the store or from a peer.
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
        if (mode.behind && now - m_queried_at >= min_query_interval) {
            return false;
        }
        return current || !mode.queries_if_unconfirmed;
    }

    asio::awaitable<result<store_rows>> query(std::chrono::milliseconds wait) {
        if (!m_loaded) {
            return m_store.list(m_table);
        }
        return m_store.changes(m_table, m_version, wait);
    }

    /// Records the time for which a response confirms the copy as current. A response reflects the
    /// store at the time it was sent: after the query arrived and, if a long poll ended without
    /// changes, after its full duration. A response with changes was sent as soon as there were
    /// any, even if it arrived late.
    void mark_current(std::chrono::milliseconds waited) {
        const auto now = boot_clock::now();
        m_current_at = std::max(m_current_at, now - m_queried_at >= waited ? m_queried_at + waited : m_queried_at);
        // If the rows were rejected, an older copy is still in force, which must not count as
        // current.
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

    /// Passes the rows to the callback; returns false if it throws. An exception must not end the
    /// coroutine `run`, because this proxy would then never get another change.
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

    /// Returns the delay before the next attempt. The delay doubles with each failure and is
    /// random, so that the proxies do not all query a recovering store at the same time.
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
    /// The newest version of any row. The store's own version cannot be used, because it also grows
    /// with changes to other tables: this copy would then look newer than that of peers that read
    /// the table earlier, although nothing in the table changed.
    std::uint64_t m_last_change{0};
    bool m_loaded{false};
    bool m_applied{false};
    int m_failures{0};
    boot_clock::time_point m_queried_at{};
    /// The latest time for which the store confirmed the copy as current.
    boot_clock::time_point m_current_at{};
    /// Whether the copy was still current when the last query failed, and when a proxy that relies
    /// on its peers queries the store again.
    bool m_was_current{false};
    std::chrono::milliseconds m_reread_pause{0};
    boot_clock::time_point m_retry_at{};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster
