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

/// Keeps a copy of a table of the metadata store: reads it whole, then waits
/// for changes, or relies on the word of peers; reads it whole again when the
/// history that it asks for is gone. Goes on through every failure.
template <metadata_store Store>
class table_follower {
public:
    /// Takes the rows, and the version of the last change to any of them; whether
    /// it could.
    using on_change = std::function<bool(const table_rows& rows, std::uint64_t version)>;
    /// Takes the moment of which the store said that the copy was current.
    using on_current = std::function<void(boot_clock::time_point at)>;

    /// `mode` is asked before each question: a connection that went silent is
    /// noticed when the wait that it told has passed, plus the store's own call
    /// limit.
    table_follower(
        Store& store, std::string table, std::function<watch_mode()> mode, on_change changed,
        on_current current = [](boot_clock::time_point) {})
        : m_store{store}
        , m_table{std::move(table)}
        , m_mode{std::move(mode)}
        , m_changed{std::move(changed)}
        , m_current{std::move(current)} {}

    /// Follows until the event loop ends.
    asio::awaitable<void> run() {
        for (;;) {
            co_await await_need();
            m_queried_at = boot_clock::now();
            // After a failure the store is asked for an answer at once: the wait
            // for a change would keep its return unknown for as long.
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

    /// Whether the store answered the last question.
    [[nodiscard]] bool reachable() const noexcept { return m_failures == 0 && m_version != 0; }

private:
    static constexpr std::chrono::milliseconds initial_backoff{80};
    static constexpr std::chrono::milliseconds max_backoff{700};

    static constexpr std::chrono::milliseconds peer_check_period{100};

    /// A peer that holds a newer version may be mistaken; the store is not
    /// asked more often on its word than this.
    static constexpr std::chrono::milliseconds min_query_interval{400};

    /// A proxy that the store turns away, while peers tell it all that the
    /// store would, tries again after so long: it has to know when the store
    /// answers it again only for its turn at replacing a primary, and that
    /// turn comes without the store too, 2 s later. A store that is down for
    /// all is asked so seldom by all but a few, since every try of every proxy
    /// is a call that counts.
    static constexpr std::chrono::milliseconds unreachable_retry_interval{5000};

    /// Spreads the questions of all proxies to a store that has just returned.
    static constexpr std::chrono::milliseconds recovery_spread{500};

    /// Lets the time pass in which peers keep this proxy's copy current.
    asio::awaitable<void> await_need() {
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

    /// An answer says how things were when the store gave it: after the question
    /// came, and where it waited for changes in vain, after the wait. One that
    /// brings changes was given as soon as there were any, however late it comes.
    void mark_current(std::chrono::milliseconds waited) {
        const auto now = boot_clock::now();
        m_current_at = std::max(m_current_at, now - m_queried_at >= waited ? m_queried_at + waited : m_queried_at);
        // Rows that could not be taken leave an older copy in force, which must
        // not count as current.
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

    /// Rows that somebody wrote must not end the loop that follows them: were
    /// an exception to leave it, this proxy would never learn of a change again.
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

    /// Doubles with each failure and is spread, so that all proxies do not ask
    /// again in the same moment when the store returns.
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
    /// The newest version of a row. The store's own version grows with changes
    /// to other tables too, and would look newer to those who read this one
    /// before, although nothing in it is.
    std::uint64_t m_last_change{0};
    bool m_loaded{false};
    bool m_applied{false};
    int m_failures{0};
    boot_clock::time_point m_queried_at{};
    /// Of when the store last said that the copy was current.
    boot_clock::time_point m_current_at{};
    /// At the last failure: whether the copy was current all the same, and when
    /// a proxy that relies on its peers tries again.
    bool m_was_current{false};
    boot_clock::time_point m_retry_at{};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster
