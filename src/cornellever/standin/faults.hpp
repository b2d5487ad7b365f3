#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

namespace cornellever::standin {

/// Injected faults of the platform stand-in, set at run time by `fault.set`.
struct faults {
    /// Every call is refused as `unavailable`, before it has any effect.
    bool down{false};
    /// Delay before each call is handled.
    std::chrono::milliseconds added_latency{0};
    /// The number of following writes that take effect without their answer
    /// being sent.
    int answers_to_drop{0};
};

/// Changes the faults that `params` names and leaves the others as they are.
void update(faults& switches, const Json::Value& params);

/// The current faults as JSON, for answers and dumps.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::standin
