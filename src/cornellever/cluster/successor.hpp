#pragma once

#include <optional>
#include <span>
#include <string>

#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// What a replica said of itself when asked.
struct replica_report {
    std::string id;
    /// The end of the log that it has received.
    sql::log_position received;
    bool draining{false};
    /// It leads already: somebody else's promotion took effect.
    bool leads{false};
};

/// The replica to promote: one that stays, with the longest log; a leaving
/// one only when no other answered. Nothing when none did.
[[nodiscard]] std::optional<replica_report> choose_successor(std::span<const replica_report> replicas);

} // namespace cornellever::cluster
