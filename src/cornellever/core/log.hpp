#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cornellever/core/event.hpp"

namespace cornellever {

/// Initializes easylogging++ to write one line per event to standard output,
/// tagged with the process's role (see role.hpp). Events below the severity
/// `minimum` are not logged.
void init_logging(std::string_view role, severity minimum);

/// Changes the minimum severity while the process runs.
void set_log_level(severity minimum);

/// Parses `debug`, `info`, `warning` or `error`; returns false for anything else.
[[nodiscard]] bool parse_severity(std::string_view text, severity& out);

/// Starts a thread that writes the log. From then on `log_event` never blocks on
/// standard output; lines that exceed the bounds of `log_queue` are dropped.
void start_background_log();

/// Stops the thread that writes the log, after writing the queued lines for at
/// most `limit`.
void stop_background_log(std::chrono::milliseconds limit);

/// The number of log lines dropped since the start.
[[nodiscard]] std::uint64_t log_lines_dropped();

/// Whether events of this severity are logged. Check this before formatting
/// costly fields.
[[nodiscard]] bool log_enabled(severity level) noexcept;

/// Logs an event as `CL<number> <name> <fields>`; `fields` are `key=value` pairs.
/// Text of callers goes through `printable_word`. Control characters are replaced,
/// so that an event is always one line.
void log_event(event id, std::string_view fields = {});

} // namespace cornellever
