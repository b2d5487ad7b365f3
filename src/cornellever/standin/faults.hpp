#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

namespace cornellever::standin {

/// Fault switches of the platform stand-in, set at run time by `fault.set`.
struct faults {
    /// Every call is refused as unavailable, before it does anything.
    bool down{false};
    /// Every call waits this long before it is handled.
    std::chrono::milliseconds added_latency{0};
    /// The next this-many writes take effect but their answers are lost.
    int answers_to_drop{0};
};

/// Updates the switches named in `params`, leaving the others as they are.
void update(faults& switches, const Json::Value& params);

/// The switches as JSON, for answers and dumps.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::standin
