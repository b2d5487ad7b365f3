#pragma once

#include <string>

#include "cornellever/config/model.hpp"

namespace cornellever::config {

/// The configuration as one INI file that reads back to the same
/// configuration; what `ctl fetch` gives an operator to change.
[[nodiscard]] std::string to_ini(const cluster& config);

} // namespace cornellever::config
