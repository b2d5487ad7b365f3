#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// A server as requests that wait for it see it.
struct server_capacity {
    /// Statements that this proxy runs there at a time; 0 without a connection.
    std::size_t concurrency{0};
    /// How long one takes, the server's own queue included.
    std::chrono::duration<double, std::milli> statement_time{0};
};

/// A set of servers: bit i stands for the i-th.
using server_set = std::uint64_t;

/// A request that waits for a connection to one of some servers.
struct queued_request {
    server_set servers{0};
    /// It is of no use to it to begin later.
    boot_clock::time_point until{};
};

/// How many statements the servers of a set run at a time together, and how
/// long one takes on average.
[[nodiscard]] server_capacity combined_capacity(std::span<const server_capacity> servers, server_set of);

/// How many of `before` wait for any server of a set.
[[nodiscard]] std::size_t count_competing(std::span<const queued_request> before, server_set of);

/// Which requests of a line, in the order of their turns, are not expected to
/// get theirs in time, from number `first` on.
[[nodiscard]] std::vector<std::size_t> too_late(std::span<const server_capacity> servers,
                                                std::span<const queued_request> queue, std::size_t first,
                                                boot_clock::time_point now);

} // namespace cornellever::routing
