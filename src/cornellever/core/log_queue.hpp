#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "cornellever/core/event.hpp"

namespace cornellever {

/// Queue of log lines to be written, bounded in two ways: it holds at most
/// `max_lines`, so that memory does not grow while the output is not read, and
/// accepts at most `lines_per_second` of each event, so that logging does not use
/// up the processor under load. Dropped lines are counted, and a `lines_dropped`
/// event reports their number. Not thread-safe.
class log_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct line {
        severity level{severity::info};
        std::string text;
    };

    /// About 1 MB with lines of 250 bytes.
    static constexpr std::size_t max_lines = 4096;
    /// Above the 100 statements/s that a VM with a quarter of a core serves; a line
    /// costs about 15 us of its processor time.
    static constexpr std::uint32_t lines_per_second = 200;

    /// Adds a line, or drops and counts it when a bound is reached.
    void push(event id, severity level, std::string text, time_point now);

    /// Removes and returns the oldest line; `nullopt` when the queue is empty.
    /// Includes the lines that report dropped ones.
    [[nodiscard]] std::optional<line> pop();

    [[nodiscard]] bool empty() const noexcept { return m_lines.empty(); }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    /// Lines of one event within the current second.
    struct rate {
        time_point window_start{};
        std::uint32_t accepted{0};
        std::uint64_t dropped{0};
    };

    std::deque<line> m_lines;
    std::map<event, rate> m_rates;
    std::uint64_t m_dropped{0};
};

} // namespace cornellever
