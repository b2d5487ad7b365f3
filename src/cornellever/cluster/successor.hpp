#pragma once

#include <optional>
#include <span>
#include <string>

#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// A replica's status when it was queried for a promotion.
struct replica_report {
    std::string id;
    /// The end of the log that it has received.
    sql::log_position received;
    bool draining{false};
    /// It is the primary already: another proxy's promotion took effect.
    bool is_primary{false};
    /// If false, it did not answer in time and the other fields are unknown.
    bool answered{true};
};

/// Chooses the replica to promote: the one with the longest log among those that are not draining.
/// A draining one is chosen only if the primary is lost and no other replica answered: after a
/// planned handover it would have to be replaced within seconds, and each handover stops writes.
/// Nothing if no replica is suitable.
[[nodiscard]] std::optional<replica_report> choose_successor(std::span<const replica_report> replicas,
                                                             primary_verdict why);

/// Whether a registered server that has not answered may hold the only log: all that answered are
/// empty. Promoting one of those would roll back every commit.
[[nodiscard]] bool may_hold_only_log(std::span<const replica_report> replicas);

/// Whether a primary has an empty log while another server has entries: it restarted without its
/// data.
[[nodiscard]] bool lacks_entries_of(const replica_report& primary, std::span<const replica_report> others);

} // namespace cornellever::cluster
