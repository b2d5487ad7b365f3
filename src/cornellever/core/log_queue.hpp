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

/// Queue of log lines that are waiting to be written. Holds at most `max_lines`,
/// so that memory does not grow while nobody reads the output. Accepts at most
/// `lines_per_second` of each event, so that logging does not use up the
/// processor under load. Counts the dropped lines and reports their number in a
/// `lines_dropped` event. Not thread-safe.
class log_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct line {
        severity level{severity::info};
        std::string text;
    };

    /// About 1 MB with lines of 250 bytes.
    static constexpr std::size_t max_lines = 4096;
    /// Higher than the 100 statements/s that a VM with a quarter of a processor
    /// core serves. Writing a line takes about 15 us of processor time on such a
    /// VM.
    static constexpr std::uint32_t lines_per_second = 200;

    /// Adds a line, or drops and counts the line when one of the limits is
    /// reached.
    void push(event id, severity level, std::string text, time_point now);

    /// Removes and returns the oldest line, which may be a report of dropped
    /// lines. Returns `nullopt` when the queue is empty.
    [[nodiscard]] std::optional<line> pop();

    [[nodiscard]] bool empty() const noexcept { return m_lines.empty(); }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    /// The number of lines of one event in the current second.
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
