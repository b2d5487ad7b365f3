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

/// Hooks that connect sessions to the rate limiter. Both are empty when rate
/// limiting is off.
struct operation_limits {
    /// Requests permission for one operation of a client account: a statement outside a transaction, or a whole
    /// transaction.
    std::function<asio::awaitable<limits::admission_result>(std::string account, accounts::rate_limit limit)> admit{};
    /// Passes the current proxies of the cluster to the rate limiter. `complete` is true if the list is known to
    /// contain all of them.
    std::function<void(const std::vector<proxy_node>& proxies, bool complete)> set_proxies{};
};

} // namespace cornellever::session
