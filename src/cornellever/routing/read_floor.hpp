#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// A position of the primary's log, known to hold every commit that was
/// acknowledged before `asked_at`: the primary proved its lead after that.
struct freshness_sample {
    boot_clock::time_point asked_at;
    sql::log_position position;
};

/// The samples of one service's primary, from which the oldest log position
/// that a read of a given age may run on is told.
class read_floor {
public:
    using time_point = boot_clock::time_point;

    /// Takes a sample. One that goes back behind an earlier sample is dropped.
    void add(const freshness_sample& sample);

    /// A commit was acknowledged at this position: its entry exists.
    void note_commit(const sql::log_position& at);

    /// When the primary is first known to have been at `at` or further; nothing
    /// where no sample is. Where all samples are, it may have been there before.
    [[nodiscard]] std::optional<time_point> reached_at(const sql::log_position& at) const;

    /// When the primary is first known to have been further than `at`; nothing
    /// where no sample is.
    [[nodiscard]] std::optional<time_point> passed_at(const sql::log_position& at) const;

    /// The position that a log needs for a read at `now` that may lack only
    /// commits acknowledged within `max_staleness`, and the session's own last
    /// commit. Nothing when no sample is recent enough to tell.
    [[nodiscard]] std::optional<sql::log_position> floor(time_point now, std::chrono::milliseconds max_staleness,
                                                         const std::optional<sql::log_position>& own_commit) const;

    /// The newest sample.
    [[nodiscard]] const freshness_sample* newest() const noexcept;

private:
    [[nodiscard]] bool in_current_term(const sql::log_position& at) const;
    [[nodiscard]] bool entry_known(const freshness_sample& sample) const;
    /// The first of the samples from `first` on whose entry is known.
    [[nodiscard]] std::deque<freshness_sample>::const_iterator first_known(std::size_t first) const;
    [[nodiscard]] bool rolled_back(const sql::log_position& at) const;
    [[nodiscard]] sql::log_position lowest_sufficient(std::size_t oldest, time_point now) const;

    std::deque<freshness_sample> m_samples;
    /// The number of the present term's first sample.
    std::uint64_t m_term_start{0};
    /// From this number on, entries are known to be of the present term.
    std::optional<std::uint64_t> m_first_entry;
};

} // namespace cornellever::routing
