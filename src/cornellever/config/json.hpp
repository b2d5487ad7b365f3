#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::config {

/// The configuration as the JSON stored in the platform's table.
[[nodiscard]] Json::Value to_json(const cluster& config);

/// Reads the stored JSON; `bad_request` describes the first malformed field.
[[nodiscard]] result<cluster> from_json(const Json::Value& value);

} // namespace cornellever::config
