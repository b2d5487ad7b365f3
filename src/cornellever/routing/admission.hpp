#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace cornellever::routing {

/// What a request finds when it arrives and no connection is idle.
struct load_view {
    /// Requests that will be served before it.
    std::size_t ahead{0};
    /// Connections that could serve it.
    std::size_t connections{0};
    /// How long a connection is taken for one statement.
    std::chrono::duration<double, std::milli> typical{10.0};
};

/// How long a request may wait for a connection, or when it should come back.
struct admission_decision {
    bool admitted{false};
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds retry_after{0};
};

/// Decides by the wait that the requests ahead make likely. A request whose
/// turn can't come within `patience` is refused at once, so that its caller
/// can use the time left elsewhere.
[[nodiscard]] admission_decision admit(const load_view& load, std::chrono::milliseconds patience);

} // namespace cornellever::routing
