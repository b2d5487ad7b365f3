#pragma once

#include <cstdint>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/account_shares.hpp"
#include "cornellever/routing/connection_request.hpp"

namespace cornellever::routing {

/// A request that waits for a connection (`Slot`) in the wait queue.
template <typename Slot>
struct pool_waiter {
    connection_request request;
    std::int64_t priority{0};
    boot_clock::time_point until{};
    boot_clock::time_point enqueued_at{};
    asio::steady_timer timer;
    account_shares::claim claim;
    bool over_share{claim.over_share()};
    Slot* granted{nullptr};
    /// Whether the request was overtaken by another one and is no longer expected to be served in time.
    bool too_late{false};
};

} // namespace cornellever::routing
