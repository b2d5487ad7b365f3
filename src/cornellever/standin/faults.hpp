#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

namespace cornellever::standin {

/// Faults injected into the simulated platform, set at run time with the RPC
/// method `fault.set`. The platform is the external service that keeps the
/// configuration and the list of VMs of a deployment; tests use the simulated one.
struct faults {
    /// Every call is refused as `unavailable` before the call has any effect.
    bool down{false};
    /// Delay before each call is handled.
    std::chrono::milliseconds added_latency{0};
    /// The number of following writes that take effect but whose responses are
    /// not sent.
    int answers_to_drop{0};
};

/// Changes the faults that `params` names and leaves the others unchanged.
void update(faults& switches, const Json::Value& params);

/// Returns the current faults as JSON, for responses and state dumps.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::standin
