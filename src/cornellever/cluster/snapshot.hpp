#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/core/packing.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// What one proxy tells another that can't reach the store.
struct proxy_snapshot {
    routing::configuration config;
    routing::registry servers;
};

/// A configuration as snapshots carry it. It is worked out once a version: many
/// proxies ask for it at about the same time.
struct packed_configuration {
    std::uint64_t version{0};
    packed_text text;
};

[[nodiscard]] packed_configuration pack(const routing::configuration& config);

/// The configuration is left out where the other has this version already.
[[nodiscard]] Json::Value snapshot_of(const packed_configuration& config, const routing::registry& servers,
                                      std::uint64_t known_config_version = 0);

[[nodiscard]] Json::Value to_json(const routing::configuration& config, const routing::registry& servers,
                                  std::uint64_t known_config_version = 0);

/// Errors: `bad_request` when a field is missing or of another type.
[[nodiscard]] result<proxy_snapshot> snapshot_from_json(const Json::Value& from);

} // namespace cornellever::cluster
