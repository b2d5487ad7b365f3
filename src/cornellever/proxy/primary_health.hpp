#pragma once

#include <chrono>
#include <span>

#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// The state of a database's primary as seen by this proxy.
enum class primary_status {
    /// A primary answers and is in contact with its replicas, or too little is known to decide.
    serving,
    /// No primary answers, or the one that does is cut off from its replicas.
    lost,
    /// The primary's VM is leaving, and a majority of the members can continue without it.
    leaving,
    /// No primary answers this proxy, but a replica is in contact with one: it is lost only if the other proxies
    /// cannot reach it either.
    unreachable,
};

/// A primary that still answers this proxy counts as cut off once its replicas have had no contact with it for this
/// long.
inline constexpr auto isolation_timeout = std::chrono::milliseconds{1500};

/// The same for a primary that does not answer this proxy either.
inline constexpr auto unresponsive_timeout = std::chrono::milliseconds{400};

/// Assesses the primary of one database from the last heartbeats of its members.
///
/// A proxy that is the only one cut off from a primary must not replace it: while a replica is in contact with the
/// primary, other proxies may be using it. Conversely, a primary that answers callers but has lost all its replicas
/// can never acknowledge a write again, so it is replaced although its heartbeats succeed.
[[nodiscard]] primary_status assess_primary(std::span<const instance_view* const> members,
                                            std::chrono::steady_clock::time_point now);

/// Another proxy's observation of a primary that this proxy cannot reach.
enum class primary_observation { reachable, not_reachable, no_answer };

/// Whether the other proxies confirm that a primary unreachable for this proxy is unreachable in general: none of them
/// reaches it, and those that answered, together with this proxy, are a majority of all proxies.
[[nodiscard]] bool peers_confirm_unreachable(std::span<const primary_observation> observations);

} // namespace cornellever::proxy
