#pragma once

#include <algorithm>
#include <cstddef>

namespace cornellever::routing {

/// Returns how many of the `limit` connections that a backend server accepts are divided among the proxies, which is
/// half of them. When VMs lose power, a server still counts their connections for 3 s and refuses new ones above its
/// limit. With half of the limit in use, all proxies can restart concurrently and reconnect while the server still
/// counts the connections of their previous processes. Using more than half gains little while nothing fails.
[[nodiscard]] constexpr std::size_t shared_connections(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit / 2);
}

/// Returns how many of the `limit` connections that a backend server accepts the proxies may use while requests wait
/// whose accounts have no connection. An eighth of the limit is reserved for control commands, for restarting proxies
/// and for proxies that cannot reach a connection owner (a proxy that keeps connections open and relays other proxies'
/// requests). Connections above half of the limit are closed again soon, so that half is free when all proxies restart.
[[nodiscard]] constexpr std::size_t connections_under_load(std::size_t limit) noexcept {
    return std::max<std::size_t>(1, limit - limit / 8);
}

/// Returns how many connections to one backend server each of `proxies` proxies may hold if the server accepts `limit`
/// in total. The result is at least one.
[[nodiscard]] constexpr std::size_t connections_per_proxy(std::size_t limit, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, shared_connections(limit) / std::max<std::size_t>(1, proxies));
}

/// Returns how many statements each of `proxies` proxies runs concurrently on a server with `slots` execution slots.
/// The result is at least one. Together the proxies send twice as many statements as the server can run, so that no
/// slot idles while a statement is in transit. Further statements would queue at the server, which neither orders them
/// by priority nor applies admission control, so requests with a short target latency could no longer be admitted.
[[nodiscard]] constexpr std::size_t statements_per_proxy(std::size_t slots, std::size_t proxies) noexcept {
    return std::max<std::size_t>(1, 2 * slots / std::max<std::size_t>(1, proxies));
}

} // namespace cornellever::routing
