#pragma once

#include <functional>
#include <map>
#include <string>

#include "cornellever/sql/position.hpp"

namespace cornellever::session {

/// Log positions by the name of the service. Positions of different services cannot be compared.
using commit_positions = std::map<std::string, sql::log_position, std::less<>>;

} // namespace cornellever::session
