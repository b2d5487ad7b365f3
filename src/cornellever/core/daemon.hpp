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

/// The event loop of a daemon's thread.
class event_loop : public asio::io_context {
public:
    /// Destroys every coroutine still suspended. Called after `run` returned
    /// and before the objects those coroutines refer to are destroyed: left
    /// to the loop's own destructor, they would run their clean-up on objects
    /// that are gone already.
    void destroy_suspended_coroutines() { shutdown(); }
};

/// Calls `on_stop` on the io_context's thread when SIGTERM or SIGINT arrives.
/// The signal set lives as long as the returned object.
[[nodiscard]] std::unique_ptr<asio::signal_set> on_stop_signal(asio::io_context& io, std::function<void()> on_stop);

/// Sets up logging from a `--log-level` value; false with a message on
/// standard error when the level is not known.
[[nodiscard]] bool start_logging(std::string_view role, std::string_view level);

/// The state chart in `text`, which is compiled in under `name`: a process
/// can't run without it, and ends here if it does not parse. A test parses
/// every chart.
[[nodiscard]] state_chart load_state_chart(std::string_view text, std::string_view name);

/// Reads `IP:PORT` texts from a command line into `out`; false with a
/// message on standard error at the first that is none.
[[nodiscard]] bool parse_endpoints(std::span<const std::string> texts, std::vector<tcp::endpoint>& out);

} // namespace cornellever
