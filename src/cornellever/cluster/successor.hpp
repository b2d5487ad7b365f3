#pragma once

#include <optional>
#include <span>
#include <string>

#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// What a replica said of itself when asked.
struct replica_report {
    std::string id;
    /// The end of the log that it has received.
    sql::log_position received;
    bool draining{false};
    /// It leads already: somebody else's promotion took effect.
    bool is_primary{false};
    /// Nothing else is known of one that did not answer in time.
    bool answered{true};
};

/// The replica to promote: one that stays, with the longest log. A leaving one
/// only when the primary is lost and no other answered: handed to it by plan,
/// the lead would have to move on within seconds, and writes stand still each
/// time. Nothing when none fits.
[[nodiscard]] std::optional<replica_report> choose_successor(std::span<const replica_report> replicas,
                                                             primary_verdict why);

/// Whether a registered server that has not answered may hold the only log: all
/// that did are empty. Promoting one of them would roll back every commit.
[[nodiscard]] bool may_hold_only_log(std::span<const replica_report> replicas);

/// Whether a server leads with an empty log while another one holds entries: it
/// started again with nothing.
[[nodiscard]] bool lacks_entries_of(const replica_report& leading, std::span<const replica_report> others);

} // namespace cornellever::cluster
