#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::session {

/// What a draining proxy (a proxy that is being stopped as planned) does at a given time.
struct stop_actions {
    /// True if each session is closed right after a reply. The caller was waiting for that reply, so none of the
    /// caller's requests can be in transit.
    bool close_after_answer{false};
    /// True if idle sessions are closed, although a request of the caller may be in transit.
    bool close_idle_sessions{false};
    /// True if transactions that are still open are rolled back at their next statement.
    bool abort_transactions{false};
    /// True if sessions that are idle inside a transaction are closed.
    bool close_idle_in_transaction{false};
    /// True if the process exits.
    bool exit{false};
};

/// Schedule of a planned stop (draining) that interrupts no request. The proxy first reports that it is not ready and
/// waits until the load balancer has noticed, because the load balancer keeps sending new connections until then. The
/// proxy closes sessions only while no request is in progress, preferably right after a reply. Open transactions may
/// continue for the first half of the grace period.
class planned_stop {
public:
    /// `grace` is the time from the stop signal until the process is killed.
    planned_stop(boot_clock::time_point stop_requested_at, std::chrono::milliseconds grace)
        : m_stop_requested_at{stop_requested_at}
        , m_grace{grace} {}

    /// Returns the actions to take at `now` while `sessions` sessions are open.
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
    /// The load balancer probes readiness once a second and removes a proxy after two failed probes, which takes at
    /// most 2 s and a round trip.
    static constexpr std::chrono::milliseconds balancer_detection_time{2100};
    /// How long the proxy closes sessions only after a reply, before it closes idle sessions as well. A caller sends
    /// about one request a second, so a third of the sessions end after a reply within this time. Closing an idle
    /// session hits a request in transit once in 300 closings, since a request is in transit for 3 ms. A longer window
    /// makes the stops of several proxies overlap during a rolling restart. With 1.1 s, half of a data centre's proxies
    /// were out of the load balancer's rotation at the same time, and the load balancer fell back to sending
    /// connections to all proxies.
    static constexpr std::chrono::milliseconds answer_close_window{400};
    /// Extra time for new connections that were in transit when the load balancer noticed that the proxy is not ready.
    static constexpr std::chrono::milliseconds late_connection_window{150};
    /// Time between the latest exit and the end of the grace period, so that the process can exit before it is killed
    /// even on a slow VM.
    static constexpr std::chrono::milliseconds kill_margin{900};

    boot_clock::time_point m_stop_requested_at;
    std::chrono::milliseconds m_grace;
};

} // namespace cornellever::session
