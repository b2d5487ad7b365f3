#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::session {

/// What a stopping proxy does at a moment.
struct stop_actions {
    /// A session is closed right behind an answer, with which its caller was
    /// waited for: no request of it can be on its way.
    bool close_after_answer{false};
    /// Sessions that rest are closed, although a request may just be on its way.
    bool close_idle_sessions{false};
    /// Transactions still open are undone with their next statement.
    bool abort_transactions{false};
    /// Sessions whose callers rest inside a transaction are closed.
    bool close_idle_in_transaction{false};
    /// The process ends.
    bool exit{false};
};

/// The course of a planned stop, which cuts no request: the balancer is told
/// first and given time to notice, because it sends new connections until
/// then; sessions are closed behind an answer where possible, and only while
/// their callers wait for nothing; open
/// transactions get the first half of the grace period.
class planned_stop {
public:
    /// `grace`: from the stop signal until the process is killed.
    planned_stop(boot_clock::time_point stop_requested_at, std::chrono::milliseconds grace)
        : m_stop_requested_at{stop_requested_at}
        , m_grace{grace} {}

    /// What holds at `now` with so many sessions open.
    [[nodiscard]] stop_actions at(boot_clock::time_point now, std::size_t sessions) const {
        const auto elapsed = now - m_stop_requested_at;
        const auto balancer_detected = std::min<boot_clock::duration>(balancer_detection_time, m_grace * 2 / 5);
        return {.close_after_answer = elapsed >= balancer_detected,
                .close_idle_sessions =
                    elapsed >= balancer_detected + std::min<boot_clock::duration>(answer_close_window, m_grace / 5),
                .abort_transactions = elapsed >= m_grace / 2,
                .close_idle_in_transaction = elapsed >= m_grace * 3 / 5,
                .exit = elapsed >= m_grace - kill_margin ||
                        (elapsed >= balancer_detected + late_connection_window && sessions == 0)};
    }

private:
    /// The balancer asks once a second and takes a proxy out after two misses;
    /// with the question under way that is at most 2 s and a round trip.
    static constexpr std::chrono::milliseconds balancer_detection_time{2100};
    /// Callers ask about once a second: a third of the sessions end behind an
    /// answer within that time. Closing a resting one cuts the request that is
    /// on its way, 3 ms, once in 300 closings. Longer stops overlap where many
    /// proxies are restarted in turn: with 1.1 s half of a data centre's proxies
    /// were out of the balancer's rotation at once, and it used them all again.
    static constexpr std::chrono::milliseconds answer_close_window{400};
    /// Connections that were on their way as the balancer noticed.
    static constexpr std::chrono::milliseconds late_connection_window{150};
    /// Left before the kill, for a slow VM to get to its exit.
    static constexpr std::chrono::milliseconds kill_margin{900};

    boot_clock::time_point m_stop_requested_at;
    std::chrono::milliseconds m_grace;
};

} // namespace cornellever::session
