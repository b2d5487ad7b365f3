#include "cornellever/core/log_queue.hpp"

namespace cornellever {

void log_queue::push(event id, severity level, std::string text, time_point now) {
    auto& event_rate = m_rates[id];
    if (now - event_rate.window_start >= std::chrono::seconds{1}) {
        if (event_rate.dropped > 0 && m_lines.size() < max_lines) {
            const auto& info = describe(event::lines_dropped);
            m_lines.push_back({info.level, "CL" + std::to_string(static_cast<unsigned>(info.id)) + " " +
                                               std::string{info.name} + " event=CL" +
                                               std::to_string(static_cast<unsigned>(id)) +
                                               " count=" + std::to_string(event_rate.dropped)});
            event_rate.dropped = 0;
        }
        event_rate.window_start = now;
        event_rate.accepted = 0;
    }
    if (event_rate.accepted >= lines_per_second || m_lines.size() >= max_lines) {
        ++event_rate.dropped;
        ++m_dropped;
        return;
    }
    ++event_rate.accepted;
    m_lines.push_back({level, std::move(text)});
}

std::optional<log_queue::line> log_queue::pop() {
    if (m_lines.empty()) {
        return std::nullopt;
    }
    auto out = std::move(m_lines.front());
    m_lines.pop_front();
    return out;
}

} // namespace cornellever
