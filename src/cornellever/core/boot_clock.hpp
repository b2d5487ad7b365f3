#pragma once

#include <chrono>
#include <ctime>

namespace cornellever {

/// A monotonic clock that also counts the time a suspended VM slept
/// (CLOCK_BOOTTIME). The age of anything believed about another process is
/// measured on it: the steady clock stops in a suspend, so that a sample or a
/// lease would look fresh on waking although everything has moved on.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// The time now.
    [[nodiscard]] static time_point now() noexcept {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
    }
};

/// Whole milliseconds of a duration, for logs and messages.
template <typename Duration>
[[nodiscard]] constexpr long long to_ms(Duration span) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace cornellever
