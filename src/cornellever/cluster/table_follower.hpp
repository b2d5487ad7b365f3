#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "cornellever/cluster/metadata_store.hpp"
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
    using on_change = std::function<void(const table_rows& rows, std::uint64_t version)>;

    /// `wait` tells how long one question for changes may wait: a connection
    /// that went silent is noticed that long after, plus the store's own call
    /// limit.
    table_follower(Store& store, std::string table, std::function<std::chrono::milliseconds()> wait, on_change changed)
        : m_store{store}
        , m_table{std::move(table)}
        , m_wait{std::move(wait)}
        , m_changed{std::move(changed)} {}

    /// Follows until the event loop ends.
    asio::awaitable<void> run() {
        for (;;) {
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

    asio::awaitable<result<store_rows>> ask() {
        if (!m_whole) {
            return m_store.list(m_table);
        }
        // After a failure the store is asked for an answer at once: the wait for
        // a change would keep its return unknown for as long.
        return m_store.changes(m_table, m_version, m_failures > 0 ? std::chrono::milliseconds{0} : m_wait());
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
            if (row.deleted) {
                m_rows.erase(row.key);
            } else {
                m_rows.insert_or_assign(row.key, row);
            }
        }
        m_version = std::max(m_version, got.version);
        if (changed) {
            m_changed(m_rows, m_version);
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
    std::function<std::chrono::milliseconds()> m_wait;
    on_change m_changed;
    table_rows m_rows;
    std::uint64_t m_version{0};
    bool m_whole{false};
    int m_failures{0};
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace cornellever::cluster
