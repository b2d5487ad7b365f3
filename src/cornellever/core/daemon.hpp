#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/log.hpp"

namespace cornellever {

/// Calls `on_stop` on the io_context's thread when SIGTERM or SIGINT arrives.
/// The signal set lives as long as the returned object.
[[nodiscard]] std::unique_ptr<asio::signal_set> on_stop_signal(asio::io_context& io, std::function<void()> on_stop);

/// Sets up logging from a `--log-level` value; false with a message on
/// standard error when the level is not known.
[[nodiscard]] bool start_logging(std::string_view role, std::string_view level);

/// Formats an endpoint as `address:port`.
[[nodiscard]] std::string to_string(const tcp::endpoint& where);

} // namespace cornellever
