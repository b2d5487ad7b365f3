#pragma once

#include <algorithm>
#include <cstddef>

namespace cornellever::routing {

/// How many of the `limit` connections that a backend server accepts are divided
/// among the proxies: half. When VMs lose power, a server still counts their
/// connections for 3 s and refuses new ones above its limit. With half of the
/// limit in use, all proxies can restart at once and reconnect beside the stale
/// connections of their previous processes. A larger share gains little while
/// nothing fails.
[[nodiscard]] constexpr std::size_t shared_connections(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit / 2);
}

/// How many of the `limit` connections that a backend server accepts the proxies
/// may use while requests wait whose accounts have no connection. An eighth is
/// reserved for control commands, for restarting proxies and for proxies that
/// can't reach a connection owner. The surplus is closed again soon, so that half of
/// the limit is free when all proxies restart.
[[nodiscard]] constexpr std::size_t connections_under_load(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit - limit / 8);
}

/// How many connections to one backend server each of `proxies` proxies may hold
/// when the server accepts `limit` in total; at least one.
[[nodiscard]] constexpr std::size_t connections_per_proxy(std::size_t limit, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, shared_connections(limit) / std::max<std::size_t>(1, proxies));
}

/// How many statements each of `proxies` proxies runs concurrently on a server
/// with `slots` execution slots; at least one. Together the proxies send twice
/// what the server can run, so that no slot idles while a statement is in
/// transit. Statements beyond that would queue at the server, unordered and
/// without admission control, so that a request with a short target latency could
/// not be admitted beside others.
[[nodiscard]] constexpr std::size_t statements_per_proxy(std::size_t slots, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, 2 * slots / std::max<std::size_t>(1, proxies));
}

} // namespace cornellever::routing
