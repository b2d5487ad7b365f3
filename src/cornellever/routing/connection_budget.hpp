#pragma once

#include <algorithm>
#include <cstddef>

namespace cornellever::routing {

/// Of the `limit` connections that a backend server takes, how many proxies
/// share out: half. When VMs lose power, a server counts their connections for
/// 3 s more and refuses whoever comes over its limit; all proxies that start
/// again together find room beside their own predecessors. Measured on 7
/// proxies before servers that take 16: in the two seconds after such a start
/// 48 to 95 % of the answers came in time, where 32 to 79 % did with all but
/// two shared out, and nothing was lost on days without.
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
/// beyond that waits at the server, in no order and with nobody refused: with
/// three connections each of 8 proxies in use before 3 slots, a statement of
/// 14 ms took 81 ms, and a request that aims at 120 ms could not be admitted.
[[nodiscard]] constexpr std::size_t statements_per_proxy(std::size_t slots, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, 2 * slots / std::max<std::size_t>(1, proxies));
}

} // namespace cornellever::routing
