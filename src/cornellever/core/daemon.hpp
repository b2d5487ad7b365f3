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
    /// Destroys every coroutine that is still suspended. Must be called after
    /// `run` has returned and before the objects that those coroutines refer to
    /// are destroyed: the destructor of the loop would run the destructors of
    /// their locals on objects that no longer exist.
    void destroy_suspended_coroutines() { shutdown(); }
};

/// Calls `on_stop` once, on the thread of `io`, when SIGTERM or SIGINT arrives.
/// Destroying the returned object stops the wait for the signals.
[[nodiscard]] std::unique_ptr<asio::signal_set> on_stop_signal(asio::io_context& io, std::function<void()> on_stop);

/// Initializes logging with the value of `--log-level`. Returns false, with a
/// message on standard error, when the level is unknown.
[[nodiscard]] bool start_logging(std::string_view role, std::string_view level);

/// Parses a state chart that is compiled into the binary. The process cannot
/// run without it: on a parse error it prints the error on standard error and
/// exits with status 1. A unit test parses every compiled-in chart.
[[nodiscard]] state_chart load_state_chart(std::string_view text, std::string_view name);

/// Parses `IP:PORT` command-line values and appends them to `out`. Returns
/// false, with a message on standard error, at the first invalid value.
[[nodiscard]] bool parse_endpoints(std::span<const std::string> texts, std::vector<tcp::endpoint>& out);

} // namespace cornellever
