#pragma once

#include <chrono>
#include <span>

#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

/// What to do about a database's primary.
enum class verdict {
    /// A primary answers and replicas hear it, or too little is known.
    keep,
    /// No primary answers, or the one that does is cut off from its replicas.
    lost,
    /// The primary's machine is leaving and others stay.
    leaving,
    /// No primary answers this proxy, but a replica hears one: lost only if
    /// the other proxies cannot reach it either.
    unreachable,
};

/// How long replicas must not have heard a primary that still answers this
/// proxy before it counts as cut off from them.
inline constexpr auto isolation_timeout = std::chrono::milliseconds{1500};

/// The same when the primary does not answer this proxy either.
inline constexpr auto silence_timeout = std::chrono::milliseconds{400};

/// Judges the primary of one database from what its members last said.
///
/// A proxy that alone cannot reach a primary must not replace it: as long as
/// a replica hears the primary, others may be served through it. And a
/// primary that answers callers but no replica can never acknowledge a
/// write again, so it is replaced though its heartbeats look well.
[[nodiscard]] verdict judge(std::span<const instance_view* const> members, std::chrono::steady_clock::time_point now);

/// What another proxy said of a primary this one cannot reach.
enum class peer_word { hears_it, does_not, no_answer };

/// Whether a primary that is unreachable from here is so for the proxies at
/// large: none of `words` hears it, and those that answered are, with this
/// proxy, a majority of all proxies.
[[nodiscard]] bool peers_agree(std::span<const peer_word> words);

} // namespace cornellever::proxy
