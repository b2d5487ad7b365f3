#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/config/model.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::config {

/// Returns the configuration as the JSON that is stored in the platform's table.
[[nodiscard]] Json::Value to_json(const cluster& config);

/// Reads the configuration from the stored JSON. Returns the error `bad_request`, which describes the first malformed
/// field, if the JSON is invalid.
[[nodiscard]] result<cluster> from_json(const Json::Value& value);

} // namespace cornellever::config
