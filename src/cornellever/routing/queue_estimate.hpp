#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// The capacity of a server, or of several, for the statements of this proxy.
struct server_capacity {
    /// Statements that this proxy runs there concurrently; 0 without a connection.
    std::size_t concurrency{0};
    /// Average time of a statement, including the server's own queue.
    std::chrono::duration<double, std::milli> statement_time{0};
};

/// A set of servers: bit i stands for the i-th server.
using server_set = std::uint64_t;

/// A request in the wait queue.
struct queued_request {
    /// The servers that are eligible for it.
    server_set servers{0};
    /// The latest time at which it is worth starting.
    boot_clock::time_point until{};
};

/// The total concurrency of the servers of a set and their average statement
/// time, weighted by throughput.
[[nodiscard]] server_capacity combined_capacity(std::span<const server_capacity> servers, server_set of);

/// How many of the requests `before` are eligible for any server of a set.
[[nodiscard]] std::size_t count_competing(std::span<const queued_request> before, server_set of);

/// The positions, from `first` on, of the requests in a queue that are not
/// expected to be served in time. Requests found late don't count against those
/// behind them.
[[nodiscard]] std::vector<std::size_t> too_late(std::span<const server_capacity> servers,
                                                std::span<const queued_request> queue, std::size_t first,
                                                boot_clock::time_point now);

} // namespace cornellever::routing
