#pragma once

#include <chrono>
#include <ctime>

namespace cornellever {

/// A monotonic clock that also advances while the VM is suspended
/// (CLOCK_BOOTTIME). The ages of leases and of data from other processes are
/// measured with this clock: the steady clock stops during a suspend, so that
/// outdated data would look recent after the VM resumes.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept {
        timespec ts{};
        clock_gettime(CLOCK_BOOTTIME, &ts);
        return time_point{std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec}};
    }
};

/// Converts a duration to whole milliseconds, rounded towards zero, for logs and
/// messages.
template <typename Duration>
[[nodiscard]] constexpr long long to_ms(Duration span) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace cornellever
