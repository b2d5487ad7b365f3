#pragma once

#include <chrono>
#include <span>

#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// The state of a database's primary as this proxy sees it.
enum class primary_status {
    /// A primary responds and is in contact with a replica, or too little is known to decide.
    serving,
    /// No primary responds and no responsive replica is in contact with one; or a primary responds, but none of its
    /// responsive replicas is in contact with it, and those replicas are a majority of the members; or a primary
    /// responds that has lost its log.
    lost,
    /// The primary's VM is leaving (being taken out of service), and a majority of the members can continue
    /// without it.
    leaving,
    /// No primary responds to this proxy, but a replica is in contact with one. The primary is lost only if the other
    /// proxies cannot reach it either.
    unreachable,
};

/// Time after which a primary that still responds to this proxy counts as cut off if none of its replicas has been in
/// contact with it.
inline constexpr auto isolation_timeout = std::chrono::milliseconds{1500};

/// Time after which a primary that does not respond to this proxy counts as lost if none of its replicas has been in
/// contact with it.
inline constexpr auto unresponsive_timeout = std::chrono::milliseconds{400};

/// Assesses the primary of one database from the last heartbeats of its members.
///
/// If only this proxy is cut off from a primary, it must not replace that primary: while a replica is in contact with
/// the primary, other proxies may be using it. Conversely, a primary that responds to heartbeats but has lost all its
/// replicas can never acknowledge a write again, so it is replaced.
[[nodiscard]] primary_status assess_primary(std::span<const instance_view* const> members,
                                            std::chrono::steady_clock::time_point now);

/// Another proxy's observation of a primary that this proxy cannot reach; `no_answer` if the other proxy did not
/// respond.
enum class primary_observation { reachable, not_reachable, no_answer };

/// Whether the other proxies confirm that a primary that this proxy cannot reach is unreachable for them too: none of
/// them reaches the primary, and the proxies that responded, together with this one, are a majority of all proxies.
[[nodiscard]] bool peers_confirm_unreachable(std::span<const primary_observation> observations);

} // namespace cornellever::proxy
