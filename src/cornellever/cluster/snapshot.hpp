#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// What one proxy tells another that can't reach the store.
struct proxy_snapshot {
    routing::configuration config;
    routing::registry servers;
};

/// Routes and services are left out where the other has this version of the
/// configuration already: they take 170 bytes a route.
[[nodiscard]] Json::Value to_json(const routing::configuration& config, const routing::registry& servers,
                                  std::uint64_t known_config_version = 0);

/// Errors: `bad_request` when a field is missing or of another type.
[[nodiscard]] result<proxy_snapshot> snapshot_from_json(const Json::Value& from);

} // namespace cornellever::cluster
