#pragma once

#include <algorithm>
#include <chrono>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// Ignores a server's leadership confirmations (replies that show that the server is the primary) for a while after the
/// server refused a statement with `not_primary`. A faulty server may open transactions as the primary but refuse
/// writes. Without the backoff, every proxy would accept such a server as the primary again right after each refusal
/// and send it every waiting statement.
class leadership_backoff {
public:
    using time_point = boot_clock::time_point;

    /// Records that the server refused a statement with `not_primary` while this proxy considered it the primary.
    /// Repeated refusals double the pause.
    void note_refusal(time_point now) {
        const bool again = m_refused_at != time_point{} && now - m_refused_at < forget_after;
        m_pause = again ? std::min(m_pause * 2, max_pause) : initial_pause;
        m_refused_at = now;
    }

    /// Ends the backoff after the server acknowledged a commit.
    void clear() { m_refused_at = {}; }

    /// Whether a leadership confirmation that was requested at `asked_at` counts.
    [[nodiscard]] bool accepts_confirmation(time_point asked_at) const {
        return m_refused_at == time_point{} || asked_at >= m_refused_at + m_pause;
    }

private:
    static constexpr std::chrono::milliseconds initial_pause{40};
    static constexpr std::chrono::milliseconds max_pause{640};
    static constexpr std::chrono::milliseconds forget_after{5000};

    time_point m_refused_at{};
    std::chrono::milliseconds m_pause{initial_pause};
};

} // namespace cornellever::routing
