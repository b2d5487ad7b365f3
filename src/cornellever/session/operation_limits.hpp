#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "cornellever/accounts/directory.hpp"
#include "cornellever/core/asio.hpp"
#include "cornellever/limits/limiter.hpp"
#include "cornellever/session/connection_ownership.hpp"

namespace cornellever::session {

/// How the traffic side has operations counted; both empty where no limits are
/// kept.
struct operation_limits {
    /// Has one operation of an account granted.
    std::function<asio::awaitable<limits::limit_verdict>(std::string account, accounts::rate_limit limit)> admit{};
    /// Takes the proxies that there are, and whether these are known to be all.
    std::function<void(const std::vector<proxy_node>& proxies, bool complete)> set_proxies{};
};

} // namespace cornellever::session
