#pragma once

#include <chrono>
#include <optional>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/read_floor.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// Estimates how far a replica has applied the log, and its replication lag, from the log positions in its replies.
/// Reads are not sent to a replica that is expected not to have reached their read floor (see `read_floor`), because
/// each such attempt costs the caller (the client application) a round trip and occupies a connection.
class replica_progress {
public:
    using time_point = boot_clock::time_point;

    /// Records that a reply received at `at` reported `applied` as the replica's position. `primary` holds the
    /// freshness samples of the primary.
    void note(const sql::log_position& applied, time_point at, const read_floor& primary);

    /// Whether the replica is expected not to have reached `floor` at `now`. Returns false if the replica has not
    /// reported a position yet.
    [[nodiscard]] bool lacks(const sql::log_position& floor, time_point now, const read_floor& primary) const;

    /// The last reported position.
    [[nodiscard]] const std::optional<sql::log_position>& applied() const noexcept { return m_applied; }

    /// The smoothed replication lag.
    [[nodiscard]] std::chrono::nanoseconds lag() const noexcept { return m_lag; }

    /// When a position was last reported; the clock's epoch if never.
    [[nodiscard]] time_point seen_at() const noexcept { return m_seen_at; }

private:
    std::optional<sql::log_position> m_applied;
    time_point m_seen_at{};
    std::chrono::nanoseconds m_lag{0};
};

} // namespace cornellever::routing
