#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace cornellever::routing {

/// The load on the servers that are eligible for a request.
struct load_view {
    /// Queued requests that are served before it.
    std::size_t requests_ahead{0};
    /// Statements that this proxy runs concurrently on the eligible servers.
    std::size_t concurrency{0};
    /// Average time of one statement there.
    std::chrono::duration<double, std::milli> statement_time{10.0};
};

/// The time limits of a request.
struct time_limits {
    /// Time left until the statement times out.
    std::chrono::milliseconds left{0};
    /// Target latency of the whole operation.
    std::chrono::milliseconds target{0};
};

/// Whether a request may wait for a connection and for how long, or when its
/// caller should retry.
struct admission_decision {
    bool admitted{false};
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds retry_after{0};
};

/// The longest wait in the queue after which a request can still be answered
/// within its target latency; zero or negative when it can't.
[[nodiscard]] std::chrono::milliseconds max_wait(const load_view& load, const time_limits& limits);

/// Admission control while servers are available. Under overload a long queue
/// makes every answer late, so a request is admitted only if it is expected to
/// be served within its target latency. Otherwise it is refused at once, so
/// that the caller can use the remaining time.
[[nodiscard]] admission_decision admit(const load_view& load, const time_limits& limits);

/// Admission control for a request that needs the primary while the service has
/// none. A failover is expected soon, so the request may wait as long as there
/// is time left to run it afterwards.
[[nodiscard]] admission_decision admit_without_primary(const time_limits& limits);

/// Whether a request that has been given a connection still has time to run. A
/// statement that is started too late times out, which discards its answer and
/// its connection.
[[nodiscard]] bool has_time_to_run(const load_view& load, std::chrono::milliseconds left);

} // namespace cornellever::routing
