#pragma once

#include <chrono>
#include <string_view>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::proxy {

/// Time limits of the phases of a graceful shutdown.
struct shutdown_limits {
    /// Time for open transactions to end.
    std::chrono::milliseconds transactions{4000};
    /// Time for requests in flight to end, counted from the end of the transaction phase.
    std::chrono::milliseconds requests{6000};
    /// Time for a caller (a client application) to send a request on an idle connection before the proxy exits.
    std::chrono::milliseconds idle_connection_grace{500};
};

/// Stops a proxy without interrupting requests, following the state chart (a state machine read from an INI file) in
/// charts/drain.ini. First waits for open transactions to end on the connections that began them. Then closes each
/// connection after a response has been sent on it, never while a request is unanswered. Both phases have time limits.
class graceful_shutdown {
public:
    using clock = std::chrono::steady_clock;

    graceful_shutdown(rpc::server& server, router& traffic, const state_chart& steps, shutdown_limits limits = {})
        : m_server{server}
        , m_router{traffic}
        , m_steps{steps}
        , m_limits{limits} {}

    /// Runs the state chart to its end; the process may exit afterwards.
    asio::awaitable<void> run();

private:
    [[nodiscard]] std::string_view run_action(std::string_view action, clock::time_point entered);
    [[nodiscard]] std::string_view wait_for_transactions(clock::time_point entered);
    [[nodiscard]] std::string_view wait_for_requests(clock::time_point entered);

    rpc::server& m_server;
    router& m_router;
    const state_chart& m_steps;
    shutdown_limits m_limits;
};

} // namespace cornellever::proxy
