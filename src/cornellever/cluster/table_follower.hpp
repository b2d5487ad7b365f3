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
/// for changes; reads it whole again when the history that it asks for is
/// gone. Goes on through every failure.
template <metadata_store Store>
class table_follower {
public:
    /// Takes the rows, and the version of the last change to any of them.
    using on_change = std::function<void(const table_rows& rows, std::uint64_t version)>;

    /// `pace` is asked before each question: a connection that went silent is
    /// noticed when the wait that it told has passed, plus the store's own call
    /// limit.
    table_follower(Store& store, std::string table, std::function<watch_pace()> pace, on_change changed)
        : m_store{store}
        , m_table{std::move(table)}
        , m_pace{std::move(pace)}
        , m_changed{std::move(changed)} {}

    /// Follows until the event loop ends.
    asio::awaitable<void> run() {
        for (;;) {
            if (m_whole && m_failures == 0 && !m_pace().waits) {
                co_await rest();
            }
            auto got = co_await ask();
            if (got) {
                note_answer();
                take(std::move(*got));
                continue;
            }
            if (got.error().code == errc::behind) {
                log_event(event::store_regained,
                          "table=" + m_table + " reason=history_gone version=" + std::to_string(m_version));
                m_whole = false;
                continue;
            }
            note_failure(got.error());
            co_await sleep_for(next_pause());
        }
    }

    /// Whether the store answered the last question.
    [[nodiscard]] bool reachable() const noexcept { return m_failures == 0 && m_version != 0; }

private:
    static constexpr std::chrono::milliseconds first_pause{80};
    static constexpr std::chrono::milliseconds longest_pause{700};

    static constexpr std::chrono::milliseconds rest_step{250};

    /// Lets the time between two readings pass, unless it becomes this proxy's
    /// turn to wait for changes.
    asio::awaitable<void> rest() {
        const auto begun = boot_clock::now();
        for (auto pace = m_pace(); !pace.waits; pace = m_pace()) {
            if (boot_clock::now() - begun >= pace.span) {
                m_whole = false;
                co_return;
            }
            co_await sleep_for(rest_step);
        }
    }

    asio::awaitable<result<store_rows>> ask() {
        if (!m_whole) {
            return m_store.list(m_table);
        }
        // After a failure the store is asked for an answer at once: the wait for
        // a change would keep its return unknown for as long.
        return m_store.changes(m_table, m_version, m_failures > 0 ? std::chrono::milliseconds{0} : m_pace().span);
    }

    void take(store_rows got) {
        const bool first = !m_whole;
        if (first) {
            m_rows.clear();
            m_whole = true;
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
            tell();
        }
    }

    /// Rows that somebody wrote must not end the loop that follows them: were
    /// an exception to leave it, this proxy would never learn of a change again.
    void tell() {
        try {
            m_changed(m_rows, m_last_change);
        } catch (const std::exception& problem) {
            log_event(event::table_not_taken, "table=" + m_table + " version=" + std::to_string(m_version) +
                                                  " reason="
                                                  " + problem.what() + "
                                                  "");
        }
    }

    void note_answer() {
        if (m_failures > 0) {
            log_event(event::store_regained, "table=" + m_table + " failures=" + std::to_string(m_failures) +
                                                 " version=" + std::to_string(m_version));
        }
        m_failures = 0;
    }

    void note_failure(const error& why) {
        if (++m_failures == 1) {
            log_event(event::store_lost,
                      "table=" + m_table + " reason=\"" + why.message + "\" version=" + std::to_string(m_version));
        }
    }

    /// Doubles with each failure and is spread, so that all proxies do not ask
    /// again in the same moment when the store returns.
    std::chrono::milliseconds next_pause() {
        const auto longest = std::min(first_pause * (1 << std::min(m_failures, 4)), longest_pause);
        std::uniform_int_distribution<long long> spread{longest.count() / 2, longest.count()};
        return std::chrono::milliseconds{spread(m_random)};
    }

    Store& m_store;
    std::string m_table;
    std::function<watch_pace()> m_pace;
    on_change m_changed;
    table_rows m_rows;
    std::uint64_t m_version{0};
    /// The newest version of a row. The store's own version grows with changes
    /// to other tables too, and would look newer to those who read this one
    /// before, although nothing in it is.
    std::uint64_t m_last_change{0};
    bool m_whole{false};
    int m_failures{0};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster
