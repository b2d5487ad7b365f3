#pragma once

#include <algorithm>
#include <chrono>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// Doubts about a server's lead. One that accepts transactions as the primary
/// and refuses their writes would otherwise be taken for the primary again as
/// soon as it refused, by each proxy and for each waiting statement.
class leadership_backoff {
public:
    using time_point = boot_clock::time_point;

    /// It was taken for the primary, and refused a statement as not being it.
    void note_refusal(time_point now) {
        const bool again = m_refused_at != time_point{} && now - m_refused_at < forget_after;
        m_pause = again ? std::min(m_pause * 2, max_pause) : initial_pause;
        m_refused_at = now;
    }

    /// It acknowledged a commit.
    void clear() { m_refused_at = {}; }

    /// Whether a proof of its lead that was asked for at `asked_at` counts.
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
