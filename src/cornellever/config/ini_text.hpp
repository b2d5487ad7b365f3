#pragma once

#include <string>

#include "cornellever/config/model.hpp"

namespace cornellever::config {

/// Returns the configuration as the text of one INI file that parses to the same configuration. `ctl fetch` gives this
/// text to an operator for editing.
[[nodiscard]] std::string to_ini(const cluster& config);

} // namespace cornellever::config
