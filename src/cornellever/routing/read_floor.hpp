#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// A log position that the primary reported together with a leadership confirmation (a reply that shows that the server
/// is still the primary) requested at `asked_at`. A log that holds this position holds every commit acknowledged before
/// `asked_at`.
struct freshness_sample {
    boot_clock::time_point asked_at;
    sql::log_position position;
};

/// Stores the freshness samples of one service's primary and computes the read floor from them. The read floor is the
/// lowest log position that a replica must have applied to serve a read within a freshness bound.
class read_floor {
public:
    using time_point = boot_clock::time_point;

    /// Adds a sample. The sample is dropped if its position is below that of the newest sample, or if its time is not
    /// later.
    void add(const freshness_sample& sample);

    /// Adds a sample of a primary that may have been promoted since the newest sample was requested. Earlier samples
    /// above its position are discarded, because the promotion rolled back the commits above that position.
    void add_after_promotion(const freshness_sample& sample);

    /// Records that a commit was acknowledged at this position. Logs therefore hold an entry with its number and term.
    void note_commit(const sql::log_position& at);

    /// Returns the time of the first sample whose position is `at` or above, or nothing if there is none. If that is
    /// the oldest sample, the primary may have reached the position earlier.
    [[nodiscard]] std::optional<time_point> reached_at(const sql::log_position& at) const;

    /// Returns the time of the first sample whose position is above `at`, or nothing if there is none.
    [[nodiscard]] std::optional<time_point> passed_at(const sql::log_position& at) const;

    /// Returns the lowest position that a replica must have applied for a read at `now`. Such a read misses only
    /// commits acknowledged within the last `max_staleness` and includes the session's last commit, `own_commit`,
    /// unless that was rolled back. Returns nothing if no sample is recent enough.
    [[nodiscard]] std::optional<sql::log_position> floor(time_point now, std::chrono::milliseconds max_staleness,
                                                         const std::optional<sql::log_position>& own_commit) const;

    /// Returns the newest sample, or null if there is none.
    [[nodiscard]] const freshness_sample* newest() const noexcept;

private:
    [[nodiscard]] bool in_current_term(const sql::log_position& at) const;
    [[nodiscard]] bool entry_known(const freshness_sample& sample) const;
    /// Returns the first sample from index `first` on whose log entry is known to exist.
    [[nodiscard]] std::deque<freshness_sample>::const_iterator first_known(std::size_t first) const;
    [[nodiscard]] bool rolled_back(const sql::log_position& at) const;
    [[nodiscard]] sql::log_position lowest_sufficient(std::size_t oldest, time_point now) const;
    /// Assumes that the current term, whose beginning is not known, has log entries from `number` on.
    void assume_entries_from(std::uint64_t number);

    std::deque<freshness_sample> m_samples;
    /// The log number of the first sample of the current term.
    std::uint64_t m_term_start{0};
    /// Log entries from this number on are known to be of the current term.
    std::optional<std::uint64_t> m_first_entry;
};

} // namespace cornellever::routing
