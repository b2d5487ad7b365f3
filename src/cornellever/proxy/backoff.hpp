#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace cornellever::proxy {

/// Exponential backoff with jitter: the pause doubles after each attempt, up to a maximum. Each pause is drawn at
/// random from the upper half of its range, so that proxies that failed together do not all retry at once against a
/// platform that has just recovered.
class backoff {
public:
    backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max, std::uint64_t seed)
        : m_initial{initial}
        , m_max{max}
        , m_next{initial}
        , m_random{seed} {}

    /// The pause before the next attempt.
    [[nodiscard]] std::chrono::milliseconds next() {
        const auto full_pause = m_next;
        m_next = std::min(2 * m_next, m_max);
        std::uniform_int_distribution<std::int64_t> distribution{full_pause.count() / 2, full_pause.count()};
        return std::chrono::milliseconds{distribution(m_random)};
    }

    /// Call after a successful attempt: starts again from the initial pause.
    void reset() { m_next = m_initial; }

private:
    std::chrono::milliseconds m_initial;
    std::chrono::milliseconds m_max;
    std::chrono::milliseconds m_next;
    std::mt19937_64 m_random;
};

} // namespace cornellever::proxy
