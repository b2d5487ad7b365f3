#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// A log position reported by the primary together with a leadership confirmation
/// requested at `asked_at`. A log that holds this position holds every commit
/// acknowledged before `asked_at`.
struct freshness_sample {
    boot_clock::time_point asked_at;
    sql::log_position position;
};

/// The freshness samples of one service's primary. From these it computes the
/// read floor: the lowest log position that a replica must have applied to serve
/// a read within a freshness bound.
class read_floor {
public:
    using time_point = boot_clock::time_point;

    /// Adds a sample; drops one whose position or time is before the newest.
    void add(const freshness_sample& sample);

    /// Records that a commit was acknowledged at this position, so that logs hold
    /// an entry at it.
    void note_commit(const sql::log_position& at);

    /// The time of the first sample at `at` or above; nothing without one. When
    /// even the oldest sample qualifies, the primary may have reached the position
    /// before.
    [[nodiscard]] std::optional<time_point> reached_at(const sql::log_position& at) const;

    /// The time of the first sample above `at`; nothing without one.
    [[nodiscard]] std::optional<time_point> passed_at(const sql::log_position& at) const;

    /// The lowest position for a read at `now` that may miss only commits
    /// acknowledged within the last `max_staleness`, and that includes the
    /// session's own last commit. Nothing when no sample is recent enough.
    [[nodiscard]] std::optional<sql::log_position> floor(time_point now, std::chrono::milliseconds max_staleness,
                                                         const std::optional<sql::log_position>& own_commit) const;

    /// The newest sample; null without one.
    [[nodiscard]] const freshness_sample* newest() const noexcept;

private:
    [[nodiscard]] bool in_current_term(const sql::log_position& at) const;
    [[nodiscard]] bool entry_known(const freshness_sample& sample) const;
    /// The first sample from index `first` on whose log entry is known to exist.
    [[nodiscard]] std::deque<freshness_sample>::const_iterator first_known(std::size_t first) const;
    [[nodiscard]] bool rolled_back(const sql::log_position& at) const;
    [[nodiscard]] sql::log_position lowest_sufficient(std::size_t oldest, time_point now) const;

    std::deque<freshness_sample> m_samples;
    /// The number of the current term's first sample.
    std::uint64_t m_term_start{0};
    /// From this number on, entries are known to be of the current term.
    std::optional<std::uint64_t> m_first_entry;
};

} // namespace cornellever::routing
