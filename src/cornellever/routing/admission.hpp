#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace cornellever::routing {

/// The load on the servers that are eligible for a request.
struct load_view {
    /// Queued requests that are served before this request.
    std::size_t requests_ahead{0};
    /// Statements that this proxy runs concurrently on the eligible servers.
    std::size_t concurrency{0};
    /// Average time of one statement on the eligible servers.
    std::chrono::duration<double, std::milli> statement_time{10.0};
};

/// The time limits of a request.
struct time_limits {
    /// Time left until the statement times out.
    std::chrono::milliseconds left{0};
    /// Target latency of the whole operation.
    std::chrono::milliseconds target{0};
};

/// Whether a request may wait for a connection and for how long, and otherwise after what time the caller (the client
/// application) should retry.
struct admission_decision {
    bool admitted{false};
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds retry_after{0};
};

/// Returns the longest wait in the queue after which a request can still be answered within its target latency. The
/// result is zero or negative if the request cannot be answered in time even without waiting.
[[nodiscard]] std::chrono::milliseconds max_wait(const load_view& load, const time_limits& limits);

/// Admission control while servers are available. Under overload a long queue makes every reply late, so a request is
/// admitted only if it is expected to be served within its target latency. Any other request is refused immediately, so
/// that the caller can use the remaining time.
[[nodiscard]] admission_decision admit(const load_view& load, const time_limits& limits);

/// Admission control for a request that needs the primary while the service has none. A failover is expected soon, so
/// the request may wait as long as enough time remains to run it afterwards.
[[nodiscard]] admission_decision admit_without_primary(const time_limits& limits);

/// Whether a request that has been given a connection still has time to run. A statement that is started too late times
/// out, and its reply and its connection are then discarded.
[[nodiscard]] bool has_time_to_run(const load_view& load, std::chrono::milliseconds left);

} // namespace cornellever::routing
