#pragma once

#include <chrono>
#include <optional>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/read_floor.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// How far a replica has applied the log, from the positions that its answers
/// name, and how long after the primary it does so. Tells which reads to keep
/// away from it: a read that is sent where its floor is not reached costs its
/// caller a round trip for each replica, and its proxy a connection meanwhile.
class replica_progress {
public:
    using time_point = boot_clock::time_point;

    /// An answer that was taken at `at` named `applied` as the replica's
    /// position; `primary` holds what is known of the primary's.
    void note(const sql::log_position& applied, time_point at, const read_floor& primary);

    /// Whether the replica is expected to lack `floor` at `now`. It is not where
    /// nothing is known of it.
    [[nodiscard]] bool lacks(const sql::log_position& floor, time_point now, const read_floor& primary) const;

    /// The position that it named last.
    [[nodiscard]] const std::optional<sql::log_position>& applied() const noexcept { return m_applied; }

    /// How long after the primary it applied what it named last.
    [[nodiscard]] std::chrono::nanoseconds lag() const noexcept { return m_lag; }

    /// When it named a position last; the epoch when never.
    [[nodiscard]] time_point seen_at() const noexcept { return m_seen_at; }

private:
    std::optional<sql::log_position> m_applied;
    time_point m_seen_at{};
    std::chrono::nanoseconds m_lag{0};
};

} // namespace cornellever::routing
