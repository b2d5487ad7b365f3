#include "cornellever/core/log.hpp"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include <easylogging++.h>

#include "cornellever/core/log_queue.hpp"

INITIALIZE_EASYLOGGINGPP

namespace cornellever {

namespace {

std::atomic<severity> g_minimum{severity::info};

/// Bounds what a peer's or server's text can add to the log.
constexpr std::size_t max_line_bytes = std::size_t{16} * 1024;

/// Makes `text` a single line of bounded length.
void make_single_line(std::string& text) {
    constexpr char replacement = '?';
    if (text.size() > max_line_bytes) {
        text.resize(max_line_bytes);
        text.append("...");
    }
    std::ranges::replace_if(
        text, [](unsigned char letter) { return std::iscntrl(letter) != 0; }, replacement);
}

} // namespace

void init_logging(std::string_view role, severity minimum) {
    g_minimum = minimum;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + std::string{role} + " %level %msg");
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Loggers::addFlag(el::LoggingFlag::ColoredTerminalOutput);
    el::Loggers::removeFlag(el::LoggingFlag::ColoredTerminalOutput);
}

void set_log_level(severity minimum) {
    g_minimum = minimum;
}

bool parse_severity(std::string_view text, severity& out) {
    if (text == "debug") {
        out = severity::debug;
    } else if (text == "info") {
        out = severity::info;
    } else if (text == "warning") {
        out = severity::warning;
    } else if (text == "error") {
        out = severity::error;
    } else {
        return false;
    }
    return true;
}

namespace {

void write(severity level, const std::string& line) {
    switch (level) {
    case severity::debug:
        LOG(DEBUG) << line;
        break;
    case severity::info:
        LOG(INFO) << line;
        break;
    case severity::warning:
        LOG(WARNING) << line;
        break;
    case severity::error:
        LOG(ERROR) << line;
        break;
    }
}

/// Writes log lines on a separate thread, so that only this thread blocks when
/// the reader of standard output stops reading.
class background_writer {
public:
    void start() {
        m_running = true;
        m_thread = std::thread{[this] { run(); }};
    }

    [[nodiscard]] bool running() const noexcept { return m_running; }

    void push(event id, severity level, std::string line) {
        {
            const std::scoped_lock lock{m_mutex};
            m_queue.push(id, level, std::move(line), std::chrono::steady_clock::now());
        }
        m_wake.notify_one();
    }

    /// Writes the queued lines for at most `limit`. A thread that has not
    /// finished by then is detached, since the thread may be blocked in a write.
    void stop(std::chrono::milliseconds limit) {
        std::unique_lock lock{m_mutex};
        m_stopping = true;
        m_wake.notify_one();
        const bool done = m_done.wait_for(lock, limit, [this] { return m_finished; });
        lock.unlock();
        if (done) {
            m_thread.join();
        } else {
            m_thread.detach();
        }
        m_running = false;
    }

    [[nodiscard]] std::uint64_t dropped() {
        const std::scoped_lock lock{m_mutex};
        return m_queue.dropped();
    }

private:
    void run() {
        std::unique_lock lock{m_mutex};
        for (;;) {
            m_wake.wait(lock, [this] { return !m_queue.empty() || m_stopping; });
            const auto next = m_queue.pop();
            if (!next) {
                m_finished = true;
                m_done.notify_one();
                return;
            }
            lock.unlock();
            write(next->level, next->text);
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_done;
    log_queue m_queue;
    std::thread m_thread;
    std::atomic<bool> m_running{false};
    bool m_stopping{false};
    bool m_finished{false};
};

/// Never destroyed, because the writer's thread may block on standard output
/// beyond the end of `main`.
background_writer& writer() {
    static auto* const instance = new background_writer;
    return *instance;
}

} // namespace

void start_background_log() {
    writer().start();
}

void stop_background_log(std::chrono::milliseconds limit) {
    if (writer().running()) {
        writer().stop(limit);
    }
}

std::uint64_t log_lines_dropped() {
    return writer().dropped();
}

bool log_enabled(severity level) noexcept {
    return level >= g_minimum.load();
}

void log_event(event id, std::string_view fields) {
    const auto& info = describe(id);
    if (!log_enabled(info.level)) {
        return;
    }
    auto line = "CL" + std::to_string(static_cast<unsigned>(id)) + " " + std::string{info.name} +
                (fields.empty() ? "" : " ") + std::string{fields};
    make_single_line(line);
    if (writer().running()) {
        writer().push(id, info.level, std::move(line));
    } else {
        write(info.level, line);
    }
}

} // namespace cornellever
