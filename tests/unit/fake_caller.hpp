#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cornellever/session/caller.hpp"

namespace cornellever::test {

/// The input of a fake caller, and the replies it received.
struct caller_script {
    std::deque<session::caller_event> events;
    /// Callbacks that run before the event with that index is delivered.
    std::map<std::size_t, std::function<void()>> before{};
    std::vector<sql::reply> answers{};
    std::vector<sql::statement_error> refusals{};
    /// Number of events delivered.
    std::size_t taken{0};
    bool accepted{false};
    bool closed{false};
};

/// A caller in memory (session::caller_channel). Disconnects at the end of the
/// script.
class fake_caller {
public:
    explicit fake_caller(caller_script& script) : m_script{&script} {}

    asio::awaitable<session::caller_event> next(boot_clock::time_point until) {
        if (const auto found = m_script->before.find(m_script->taken); found != m_script->before.end()) {
            found->second();
        }
        // Gives the pool time to reclaim connections before the next statement.
        co_await sleep_for(std::chrono::milliseconds{2});
        if (m_script->closed || m_script->events.empty()) {
            co_return session::caller_disconnected{};
        }
        auto out = std::move(m_script->events.front());
        m_script->events.pop_front();
        ++m_script->taken;
        if (std::holds_alternative<session::caller_timed_out>(out)) {
            co_await sleep_for(std::chrono::milliseconds{to_ms(until - boot_clock::now())});
        }
        co_return out;
    }
    void accept() { m_script->accepted = true; }
    void send(const sql::reply& answer) { m_script->answers.push_back(answer); }
    void refuse(const sql::statement_error& error) { m_script->refusals.push_back(error); }
    bool close_if_no_input() {
        if (!m_script->events.empty()) {
            return false;
        }
        m_script->closed = true;
        return true;
    }
    void close() { m_script->closed = true; }

private:
    caller_script* m_script;
};

[[nodiscard]] inline session::caller_event opening(std::string database) {
    return session::session_opening{std::move(database)};
}

[[nodiscard]] inline session::caller_event request(std::string id, sql::statement_kind kind, std::string text = {},
                                                   std::string name = {}) {
    return sql::request{std::move(id), {.kind = kind, .name = std::move(name), .text = std::move(text)}};
}

} // namespace cornellever::test
