#pragma once

#include <algorithm>
#include <cstddef>

namespace cornellever::routing {

/// Of the `limit` connections that a backend server takes, how many proxies
/// share out: half. When VMs lose power, a server counts their connections for
/// 3 s more and refuses whoever comes over its limit; all proxies that start
/// again together find room beside their own predecessors.
/// Sharing out more gains little while nothing fails.
[[nodiscard]] constexpr std::size_t shared_connections(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit / 2);
}

/// Of the `limit` connections that a backend server takes, how many proxies open
/// while requests of accounts wait that have none: an eighth is left for orders,
/// for proxies that come back and for those whose owners are out of reach. They
/// are closed again soon, so that half is free when all proxies start again.
[[nodiscard]] constexpr std::size_t connections_under_load(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit - limit / 8);
}

/// How many connections to one backend server each of `proxies` may hold when
/// the server takes `limit` of them together; at least one.
[[nodiscard]] constexpr std::size_t connections_per_proxy(std::size_t limit, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, shared_connections(limit) / std::max<std::size_t>(1, proxies));
}

/// How many statements each of `proxies` runs at a time at a server that runs
/// `slots`; at least one. Together they send twice what the server runs, so
/// that a slot is never free for want of a statement under way. What is sent
/// beyond that waits at the server, in no order and with nobody refused, so
/// that a request with a short aim could not be admitted beside others.
[[nodiscard]] constexpr std::size_t statements_per_proxy(std::size_t slots, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, 2 * slots / std::max<std::size_t>(1, proxies));
}

} // namespace cornellever::routing
