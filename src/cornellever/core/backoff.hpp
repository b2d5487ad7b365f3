#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace cornellever {

/// Exponential backoff with jitter: the full pause doubles after each attempt, up to a maximum. Each pause is drawn at
/// random between half the full pause and the full pause, so that proxies whose attempts failed at the same time do not
/// all retry at the same time and overload the platform (the external service that keeps the configuration and the list
/// of VMs) when it has just recovered.
class backoff {
public:
    backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max, std::uint64_t seed)
        : m_initial{initial}
        , m_max{max}
        , m_next{initial}
        , m_random{seed} {}

    /// Returns the pause before the next attempt and doubles the full pause after that.
    [[nodiscard]] std::chrono::milliseconds next() {
        const auto full_pause = m_next;
        m_next = std::min(2 * m_next, m_max);
        std::uniform_int_distribution<std::int64_t> distribution{full_pause.count() / 2, full_pause.count()};
        return std::chrono::milliseconds{distribution(m_random)};
    }

    /// Starts again from the initial pause; to be called after a successful attempt.
    void reset() { m_next = m_initial; }

private:
    std::chrono::milliseconds m_initial;
    std::chrono::milliseconds m_max;
    std::chrono::milliseconds m_next;
    std::mt19937_64 m_random;
};

} // namespace cornellever
