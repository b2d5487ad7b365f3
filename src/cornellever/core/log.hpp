#pragma once

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

/// Logs one event as `CL<number> <name> <fields>`; `fields` are `key=value` pairs.
void log_event(event id, std::string_view fields = {});

} // namespace cornellever
