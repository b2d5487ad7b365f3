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

/// Lines waiting to be written. Bounded in two ways, so that logging can
/// neither fill the memory when nobody reads the output nor take the processor
/// under load: at most `max_lines` wait, and at most `lines_per_second` of one
/// event are taken. What is dropped is counted and told. Not synchronized.
class log_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct line {
        severity level{severity::info};
        std::string text;
    };

    /// About 1 MB of lines of 250 bytes.
    static constexpr std::size_t max_lines = 4096;
    /// Above what a VM with a quarter of a core serves (100 statements a
    /// second); a line costs about 15 us of it.
    static constexpr std::uint32_t lines_per_second = 200;

    /// Adds a line, or counts it as dropped.
    void push(event id, severity level, std::string text, time_point now);

    /// The oldest line; nothing when none waits. Lines that say what was
    /// dropped come in between.
    [[nodiscard]] std::optional<line> pop();

    [[nodiscard]] bool empty() const noexcept { return m_lines.empty(); }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    struct rate {
        time_point second{};
        std::uint32_t taken{0};
        std::uint64_t dropped{0};
    };

    std::deque<line> m_lines;
    std::map<event, rate> m_rates;
    std::uint64_t m_dropped{0};
};

} // namespace cornellever
