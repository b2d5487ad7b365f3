#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/log.hpp"
#include "cornellever/core/state_chart.hpp"

namespace cornellever {

/// The event loop of one thread.
class event_loop : public asio::io_context {
public:
    /// Destroys every coroutine that is still suspended. Call this after `run`
    /// has returned and before destroying the objects that these coroutines refer
    /// to. Otherwise the destructor of the event loop destroys the coroutines,
    /// and the destructors of their local variables access objects that no longer
    /// exist.
    void destroy_suspended_coroutines() { shutdown(); }
};

/// Calls `on_stop` once, on the thread of `io`, when SIGTERM or SIGINT arrives.
/// Destroying the returned object stops the wait for the signals.
[[nodiscard]] std::unique_ptr<asio::signal_set> on_stop_signal(asio::io_context& io, std::function<void()> on_stop);

/// Initializes logging for a process with the role `role` (see role.hpp) at the
/// severity `level`, the value of `--log-level`. Returns false, after printing a
/// message to standard error, when the level is unknown.
[[nodiscard]] bool start_logging(std::string_view role, std::string_view level);

/// Parses a state chart (a state machine read from an INI file) that is compiled
/// into the binary. The process cannot run without this chart: on a parse error
/// the function prints the error to standard error and exits with status 1. A
/// unit test parses every compiled-in chart.
[[nodiscard]] state_chart load_state_chart(std::string_view text, std::string_view name);

/// Parses `IP:PORT` command-line values and appends them to `out`. Returns false
/// at the first invalid value, after printing a message to standard error.
[[nodiscard]] bool parse_endpoints(std::span<const std::string> texts, std::vector<tcp::endpoint>& out);

} // namespace cornellever
