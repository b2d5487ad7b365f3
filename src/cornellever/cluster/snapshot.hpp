#pragma once

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/core/packing.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::cluster {

/// A part of a snapshot. It is worked out once a version: many proxies ask for
/// it at about the same time.
struct packed_part {
    std::uint64_t version{0};
    packed_text text;
};

/// The versions that a proxy has already; 0 where it has none.
struct known_versions {
    std::uint64_t config{0};
    std::uint64_t registry{0};
};

[[nodiscard]] packed_part pack(const routing::configuration& config);
[[nodiscard]] packed_part pack(const routing::registry& servers);

/// A part of which the other has this version already is left out.
[[nodiscard]] Json::Value snapshot_of(const packed_part& config, const packed_part& servers, known_versions known);

/// What one proxy tells another that can't reach the store. A part that was left
/// out is empty and has version 0.
struct proxy_snapshot {
    routing::configuration config;
    routing::registry servers;
    /// The configuration as it came, to be passed on.
    packed_part packed_config;
};

/// Errors: `bad_request` when a field is missing or of another type.
[[nodiscard]] result<proxy_snapshot> snapshot_from_json(const Json::Value& from);

} // namespace cornellever::cluster
