#pragma once

#include <string>

#include "cornellever/config/model.hpp"

namespace cornellever::config {

/// Writes the configuration as one INI file that parses to the same configuration. `ctl fetch` hands it to an operator
/// for editing.
[[nodiscard]] std::string to_ini(const cluster& config);

} // namespace cornellever::config
