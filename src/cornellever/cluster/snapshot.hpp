#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/core/packing.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// The configuration or the registry in the compressed form in which a snapshot carries it. It is
/// cached per version, because many proxies request the same version at about the same time.
struct packed_part {
    std::uint64_t version{0};
    packed_text text;
};

/// The versions that the requesting proxy already has; 0 if it has none.
struct known_versions {
    std::uint64_t config{0};
    std::uint64_t registry{0};
};

[[nodiscard]] packed_part pack(const routing::configuration& config);
[[nodiscard]] packed_part pack(const routing::registry& servers);

/// Returns a snapshot without the parts that the requesting proxy already has in this version.
[[nodiscard]] Json::Value snapshot_of(const packed_part& config, const packed_part& servers, known_versions known);

/// The configuration and the registry, as one proxy sends them to another that cannot get them from
/// the store. A part that was left out is empty and has version 0.
struct proxy_snapshot {
    routing::configuration config;
    routing::registry servers;
    /// The configuration in the compressed form in which it was received, so that it can be
    /// forwarded without being compressed again.
    packed_part packed_config;
};

/// Error: `bad_request` if a field is missing or has the wrong type.
[[nodiscard]] result<proxy_snapshot> snapshot_from_json(const Json::Value& from);

} // namespace cornellever::cluster
