#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// The capacity of one or more servers for the statements of this proxy.
struct server_capacity {
    /// Statements that this proxy runs concurrently on these servers; 0 without a connection.
    std::size_t concurrency{0};
    /// Average time of a statement, including the servers' queues.
    std::chrono::duration<double, std::milli> statement_time{0};
};

/// A set of servers, in which bit i is the i-th server.
using server_set = std::uint64_t;

/// A request in the wait queue.
struct queued_request {
    /// The servers that are eligible for the request.
    server_set servers{0};
    /// The latest time at which the request can start and still be useful.
    boot_clock::time_point until{};
};

/// Returns the total concurrency of the servers in the set `of` and their average statement time, weighted by
/// throughput.
[[nodiscard]] server_capacity combined_capacity(std::span<const server_capacity> servers, server_set of);

/// Returns how many of the requests `before` are eligible for any server in the set `of`.
[[nodiscard]] std::size_t count_competing(std::span<const queued_request> before, server_set of);

/// Returns the indices, from `first` on, of the requests in `queue` that are not expected to be served in time. A
/// request that is found to be late is not counted as waiting ahead of the requests behind it.
[[nodiscard]] std::vector<std::size_t> too_late(std::span<const server_capacity> servers,
                                                std::span<const queued_request> queue, std::size_t first,
                                                boot_clock::time_point now);

/// Returns how long a request that is queued now behind all others is expected to wait if it needs the same servers as
/// those of the `queue` that wait longest. Requests for servers without capacity are expected to wait until the last of
/// them is given up.
[[nodiscard]] std::chrono::milliseconds longest_wait(std::span<const server_capacity> servers,
                                                     std::span<const queued_request> queue, boot_clock::time_point now);

} // namespace cornellever::routing
