#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::session {

/// What a draining proxy does at a given time.
struct stop_actions {
    /// Sessions are closed immediately after a reply. The caller was waiting for
    /// it, so that no request of the session can be in transit.
    bool close_after_answer{false};
    /// Idle sessions are closed, although a request may be in transit.
    bool close_idle_sessions{false};
    /// Transactions still open are rolled back at their next statement.
    bool abort_transactions{false};
    /// Sessions that are idle in a transaction are closed.
    bool close_idle_in_transaction{false};
    /// The process exits.
    bool exit{false};
};

/// Schedule of a planned stop (draining) that interrupts no request. The proxy
/// first turns unready and waits until the load balancer has noticed, which
/// keeps sending new connections until then. Sessions are closed only while no
/// request is in progress, preferably right after a reply. Open transactions
/// may continue for the first half of the grace period.
class planned_stop {
public:
    /// `grace` is the time from the stop signal until the process is killed.
    planned_stop(boot_clock::time_point stop_requested_at, std::chrono::milliseconds grace)
        : m_stop_requested_at{stop_requested_at}
        , m_grace{grace} {}

    /// The actions due at `now`, with `sessions` sessions open.
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
    /// The load balancer probes readiness once a second and removes a proxy
    /// after two failed probes: at most 2 s and a round trip.
    static constexpr std::chrono::milliseconds balancer_detection_time{2100};
    /// How long sessions are closed only after a reply, before idle ones are
    /// closed too. Callers send about one request a second, so that a third of
    /// the sessions end after a reply within this time. Closing an idle session
    /// hits a request in transit (3 ms) once in 300 closings. A longer stop
    /// overlaps with others during a rolling restart: with 1.1 s, half of a data
    /// centre's proxies were out of the load balancer's rotation at once, and it
    /// fell back to sending connections to all of them.
    static constexpr std::chrono::milliseconds answer_close_window{400};
    /// For connections that were in transit when the load balancer noticed.
    static constexpr std::chrono::milliseconds late_connection_window{150};
    /// Left before the kill, so that the process can exit on a slow VM.
    static constexpr std::chrono::milliseconds kill_margin{900};

    boot_clock::time_point m_stop_requested_at;
    std::chrono::milliseconds m_grace;
};

} // namespace cornellever::session
