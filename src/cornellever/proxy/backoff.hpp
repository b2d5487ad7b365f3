#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace cornellever::proxy {

/// Pauses between tries that double up to a longest one. Each is drawn from
/// its upper half, so that many proxies that failed together do not all come
/// back together to a platform that has just recovered.
class backoff {
public:
    backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed)
        : m_first{first}
        , m_longest{longest}
        , m_next{first}
        , m_random{seed} {}

    /// The pause before the next try.
    [[nodiscard]] std::chrono::milliseconds next() {
        const auto whole = m_next;
        m_next = std::min(2 * m_next, m_longest);
        std::uniform_int_distribution<std::int64_t> part{whole.count() / 2, whole.count()};
        return std::chrono::milliseconds{part(m_random)};
    }

    /// The last try succeeded: start again from the first pause.
    void reset() { m_next = m_first; }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::chrono::milliseconds m_next;
    std::mt19937_64 m_random;
};

} // namespace cornellever::proxy
