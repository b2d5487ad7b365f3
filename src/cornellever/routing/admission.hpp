#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace cornellever::routing {

/// What a request finds when it arrives and no connection is idle.
struct load_view {
    /// Requests that will be served before it.
    std::size_t requests_ahead{0};
    /// Statements that this proxy runs at a time at servers that could serve it.
    std::size_t concurrency{0};
    /// How long one statement takes there.
    std::chrono::duration<double, std::milli> statement_time{10.0};
};

/// What bounds a request's wait.
struct time_limits {
    /// Until its statement's timeout.
    std::chrono::milliseconds left{0};
    /// What its caller aims at for the whole operation.
    std::chrono::milliseconds target{0};
};

/// How long a request may wait for a connection, or when it should come back.
struct admission_decision {
    bool admitted{false};
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds retry_after{0};
};

/// How long a request may wait for its turn and still be answered within the
/// latency that its caller aims at; not positive when it can't be.
[[nodiscard]] std::chrono::milliseconds max_wait(const load_view& load, const time_limits& limits);

/// Decides for a request while servers work. Under more load than they can
/// take, a long line makes every answer late: requests are admitted as long as
/// their turn is likely to come within the latency that their callers aim at,
/// and refused at once otherwise, so that the caller can use the time left.
[[nodiscard]] admission_decision admit(const load_view& load, const time_limits& limits);

/// Decides for a request that needs the primary while a service has none.
/// Another one leads soon, and the request may wait for it as long as there is
/// time to run it afterwards.
[[nodiscard]] admission_decision admit_without_primary(const time_limits& limits);

/// Whether a request that got its turn still has the time to run: one that is
/// begun too late ends by its timeout, its answer is thrown away and its
/// connection with it.
[[nodiscard]] bool has_time_to_run(const load_view& load, std::chrono::milliseconds left);

} // namespace cornellever::routing
