#include "cornellever/proxy/graceful_shutdown.hpp"

#include <string>

namespace cornellever::proxy {

namespace {

constexpr auto tick = std::chrono::milliseconds{10};
constexpr auto final_state = "stopped";

} // namespace

asio::awaitable<void> graceful_shutdown::run() {
    m_router.drain();
    std::string state = m_steps.start();
    auto entered = clock::now();
    while (!m_steps.action(state).empty()) {
        const auto event = run_action(m_steps.action(state), entered);
        auto next = m_steps.next(state, event);
        if (!next) {
            next = std::string{final_state};
        }
        if (*next != state) {
            state = *next;
            entered = clock::now();
            continue;
        }
        co_await sleep_for(tick);
    }
}

std::string_view graceful_shutdown::run_action(std::string_view action, clock::time_point entered) {
    if (action == "wait_for_transactions") {
        return wait_for_transactions(entered);
    }
    if (action == "wait_for_requests") {
        return wait_for_requests(entered);
    }
    return "unknown_action";
}

std::string_view graceful_shutdown::wait_for_transactions(clock::time_point entered) {
    if (m_router.open_transactions() == 0) {
        return "finished";
    }
    return clock::now() - entered > m_limits.transactions ? "out_of_time" : "waiting";
}

std::string_view graceful_shutdown::wait_for_requests(clock::time_point entered) {
    m_server.stop_accepting();
    m_server.drain();
    const auto waited = clock::now() - entered;
    const bool idle = m_server.in_flight() == 0;
    if (idle && (m_server.open_connections() == 0 || waited > m_limits.idle_connection_grace)) {
        return "finished";
    }
    return waited > m_limits.requests ? "out_of_time" : "waiting";
}

} // namespace cornellever::proxy
