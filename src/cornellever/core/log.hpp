#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cornellever/core/event.hpp"

namespace cornellever {

/// Sets up easylogging++ for a role: one line per event on standard error,
/// tagged with the role's name; events below `minimum` are dropped.
void init_logging(std::string_view role, severity minimum);

/// Drops events below `minimum` from now on.
void set_log_level(severity minimum);

/// Parses "debug", "info", "warning" or "error"; false for anything else.
[[nodiscard]] bool parse_severity(std::string_view text, severity& out);

/// Hands lines to a thread that writes them, from now on: `log_event` then
/// never waits for standard output, and drops lines rather than memory (see
/// `log_queue`).
void start_background_log();

/// Writes what waits, for at most `limit`, and ends that thread.
void stop_background_log(std::chrono::milliseconds limit);

/// Lines that were dropped so far.
[[nodiscard]] std::uint64_t log_lines_dropped();

/// Whether events of this severity are logged: spares making up a line.
[[nodiscard]] bool log_enabled(severity level) noexcept;

/// Logs one event as `CL<number> <name> <fields>`; `fields` are `key=value` pairs.
void log_event(event id, std::string_view fields = {});

} // namespace cornellever
