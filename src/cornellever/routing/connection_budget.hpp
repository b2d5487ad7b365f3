#pragma once

#include <algorithm>
#include <cstddef>

namespace cornellever::routing {

/// Connections of each backend server that are left for proxies which were
/// just added or restarted: a server counts a dead peer's connection for up to
/// 3 s more, and refuses whoever comes over its limit.
inline constexpr std::size_t connections_kept_back = 2;

/// How many connections to one backend server each of `proxies` may hold when
/// the server takes `limit` of them together; at least one.
[[nodiscard]] constexpr std::size_t connections_per_proxy(std::size_t limit, std::size_t proxies) noexcept {
    const auto usable = limit > connections_kept_back ? limit - connections_kept_back : limit;
    return std::max<std::size_t>(1, usable / std::max<std::size_t>(1, proxies));
}

} // namespace cornellever::routing
