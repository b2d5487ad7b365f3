#include "cornellever/core/log_queue.hpp"

namespace cornellever {

void log_queue::push(event id, severity level, std::string text, time_point now) {
    auto& at = m_rates[id];
    if (now - at.second >= std::chrono::seconds{1}) {
        if (at.dropped > 0 && m_lines.size() < max_lines) {
            const auto& info = describe(event::lines_dropped);
            m_lines.push_back({info.level, "CL" + std::to_string(static_cast<unsigned>(info.id)) + " " +
                                               std::string{info.name} + " event=CL" +
                                               std::to_string(static_cast<unsigned>(id)) +
                                               " count=" + std::to_string(at.dropped)});
            at.dropped = 0;
        }
        at.second = now;
        at.taken = 0;
    }
    if (at.taken >= lines_per_second || m_lines.size() >= max_lines) {
        ++at.dropped;
        ++m_dropped;
        return;
    }
    ++at.taken;
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
