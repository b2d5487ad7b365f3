#pragma once

#include <chrono>
#include <string_view>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/state_chart.hpp"
#include "cornellever/proxy/router.hpp"
#include "cornellever/rpc/server.hpp"

namespace cornellever::proxy {

/// How long each part of a planned stop may take.
struct stop_limits {
    /// For open transactions to end.
    std::chrono::milliseconds transactions{4000};
    /// For requests under way, once no transaction is open.
    std::chrono::milliseconds requests{6000};
    /// For a connection with no request on it to send one.
    std::chrono::milliseconds idle_grace{500};
};

/// Stops a proxy without cutting a request, following charts/drain.ini:
/// transactions end first, on the connections that began them; then every
/// connection ends after an answer, never before one.
class planned_stop {
public:
    using clock = std::chrono::steady_clock;

    planned_stop(rpc::server& server, router& traffic, const state_chart& steps, stop_limits limits = {})
        : m_server{server}
        , m_router{traffic}
        , m_steps{steps}
        , m_limits{limits} {}

    /// Runs the chart to its end; the process may exit then.
    asio::awaitable<void> run();

private:
    [[nodiscard]] std::string_view act(std::string_view action, clock::time_point entered);
    [[nodiscard]] std::string_view wait_for_transactions(clock::time_point entered);
    [[nodiscard]] std::string_view wait_for_requests(clock::time_point entered);

    rpc::server& m_server;
    router& m_router;
    const state_chart& m_steps;
    stop_limits m_limits;
};

} // namespace cornellever::proxy
