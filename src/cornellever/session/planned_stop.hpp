#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::session {

/// What a stopping proxy does at a moment.
struct stop_actions {
    /// Sessions that rest are closed, and others as they come to rest.
    bool close_resting{false};
    /// Transactions still open are undone with their next statement.
    bool end_transactions{false};
    /// The process ends.
    bool exit{false};
};

/// The course of a planned stop, which cuts no request: the balancer is told
/// first and given time to notice, because it sends new connections until
/// then; sessions are closed only while their callers wait for nothing; open
/// transactions get the first half of the grace period.
class planned_stop {
public:
    /// `grace`: from the stop signal until the process is killed.
    planned_stop(boot_clock::time_point begun, std::chrono::milliseconds grace) : m_begun{begun}, m_grace{grace} {}

    /// What holds at `now` with so many sessions open.
    [[nodiscard]] stop_actions at(boot_clock::time_point now, std::size_t sessions) const {
        const auto since = now - m_begun;
        const auto noticed = std::min<boot_clock::duration>(balancer_notices, m_grace * 2 / 5);
        return {.close_resting = since >= noticed,
                .end_transactions = since >= m_grace / 2,
                .exit = since >= m_grace - kill_margin || (since >= noticed + last_answers && sessions == 0)};
    }

private:
    /// The balancer asks once a second and takes a proxy out after two misses;
    /// with the question under way that is at most 2 s and a round trip.
    static constexpr std::chrono::milliseconds balancer_notices{2200};
    /// Connections that were on their way as the balancer noticed.
    static constexpr std::chrono::milliseconds last_answers{150};
    /// Left before the kill, for a slow VM to get to its exit.
    static constexpr std::chrono::milliseconds kill_margin{900};

    boot_clock::time_point m_begun;
    std::chrono::milliseconds m_grace;
};

} // namespace cornellever::session
