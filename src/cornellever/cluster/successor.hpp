#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "cornellever/cluster/primary_judge.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::cluster {

/// A replica's status when it was queried for a promotion.
struct replica_report {
    std::string id;
    /// The end of the part of the log that the replica has received.
    sql::log_position received;
    bool draining{false};
    /// True if the server is the primary already, because another proxy's promotion took effect.
    bool is_primary{false};
    /// True if the server reports that it is not the primary. A server that is too busy to report its
    /// status reports neither.
    bool is_replica{false};
    /// False if the replica did not respond in time; `received` and `is_primary` are then unknown.
    bool answered{true};
    /// False if the server has been removed from the registry. `received` is then the highest position
    /// of the primary's log that was known when the server was removed.
    bool registered{true};
};

/// Chooses the replica to promote: the one with the longest log among those that are not draining
/// (have not announced that they stop soon). A draining replica is chosen only if the primary is
/// lost and no other replica responded: after a planned handover it would itself have to be
/// replaced within seconds, and each handover stops writes. Returns nullopt if no replica is
/// suitable.
[[nodiscard]] std::optional<replica_report> choose_successor(std::span<const replica_report> replicas,
                                                             primary_verdict why);

/// Chooses the server with the longest log of those that responded, and among servers with equally
/// long logs one that is not draining. Used for services with synchronous replicas: a draining
/// replica also acknowledges commits, so it may be the only one that holds them.
[[nodiscard]] std::optional<replica_report> choose_longest_log(std::span<const replica_report> replicas);

/// The primary that is replaced, in a service whose primary acknowledges a commit only after
/// `synchronous_replicas` replicas have received it.
struct replaced_primary {
    std::string_view id;
    primary_verdict why{primary_verdict::lost};
    int synchronous_replicas{0};
};

/// Returns whether the log of `candidate` is proven to hold every acknowledged commit, which always
/// counts as proven without synchronous replicas.
///
/// An acknowledged commit is in the logs of at least `synchronous_replicas` replicas, so the longest
/// log is complete if fewer replicas than that may hold a longer one: those that have not reported
/// how much they have received, and those that were removed from the registry before the candidate
/// had received what they may have held. No timeout ends the wait for these. A primary that is
/// leaving and has not stepped down still acknowledges commits, so nothing is proven. A primary that
/// has stepped down proves nothing about a silent replica, which may have led since.
[[nodiscard]] bool holds_acknowledged_commits(const replica_report& candidate, std::span<const replica_report> replicas,
                                              const replaced_primary& old);

/// Returns whether a registered server that has not responded may hold the only log, because the
/// logs of all servers that responded are empty. Promoting one of these would roll back every
/// commit. The platform removes the entries of servers that have failed, so a promotion waits for
/// as long as the server is registered.
[[nodiscard]] bool may_hold_only_log(std::span<const replica_report> replicas);

/// Returns whether a primary has an empty log while another server's log has entries, which means
/// that the primary restarted without its data.
[[nodiscard]] bool lacks_entries_of(const replica_report& primary, std::span<const replica_report> others);

} // namespace cornellever::cluster
