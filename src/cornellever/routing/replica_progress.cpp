#include "cornellever/routing/replica_progress.hpp"

namespace cornellever::routing {

void replica_progress::note(const sql::log_position& applied, time_point at, const read_floor& primary) {
    if (at < m_seen_at) {
        return;
    }
    m_applied = applied;
    m_seen_at = at;
    const auto passed = primary.passed_at(applied);
    const auto lag = passed && at > *passed ? at - *passed : std::chrono::nanoseconds{0};
    // The lag varies from commit to commit. A longer lag is adopted immediately, and a shorter lag is averaged in.
    m_lag = lag > m_lag ? lag : (m_lag + lag) / 2;
}

bool replica_progress::lacks(const sql::log_position& floor, time_point now, const read_floor& primary) const {
    if (!m_applied || *m_applied >= floor) {
        return false;
    }
    const auto reached = primary.reached_at(floor).value_or(now);
    return now < reached + m_lag;
}

} // namespace cornellever::routing
