#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::emulator {

/// The statement slots of an emulated server: statements that find no free slot wait in the order of their arrival,
/// and those beyond the queue are refused. Without a limit every statement runs at once.
class statement_slots {
public:
    using time_point = boot_clock::time_point;

    /// Each statement occupies one of `slots` for `work` on average; at most `queue` statements wait. No slots mean no
    /// limit.
    void limit(std::size_t slots, std::size_t queue, std::chrono::milliseconds work) {
        m_free_at.assign(slots, {});
        m_queue = queue;
        m_work = work;
    }

    [[nodiscard]] bool limited() const noexcept { return !m_free_at.empty(); }
    /// Number of slots in use.
    [[nodiscard]] std::size_t busy() const noexcept { return std::min(m_accepted, m_free_at.size()); }

    /// The average time of a statement.
    [[nodiscard]] std::chrono::milliseconds work() const noexcept { return m_work; }

    /// Returns when a statement that takes `work` is done, or nothing if the queue is full.
    [[nodiscard]] std::optional<time_point> take(time_point now, std::chrono::milliseconds work) {
        if (m_accepted >= m_free_at.size() + m_queue) {
            return std::nullopt;
        }
        ++m_accepted;
        auto& earliest = *std::ranges::min_element(m_free_at);
        earliest = std::max(earliest, now) + work;
        return earliest;
    }

    /// A statement that `take` accepted is done.
    void release() noexcept { --m_accepted; }

private:
    std::vector<time_point> m_free_at;
    std::size_t m_queue{0};
    std::chrono::milliseconds m_work{0};
    /// Statements that run or wait.
    std::size_t m_accepted{0};
};

} // namespace cornellever::emulator
