#pragma once

#include <chrono>
#include <cstdint>

#include <jsoncpp/json/value.h>

namespace cornellever::backend {

/// Fault switches of the stand-in, set at run time with `fault.set`.
struct faults {
    /// How long a replica holds a received write back before applying it.
    std::chrono::milliseconds replication_lag{0};
    /// Nothing is answered, shipped or applied: a crashed or hung machine.
    bool frozen{false};
    /// No replication in or out: a partition between the instances.
    bool replication_cut{false};
    /// Nothing but replication is answered: a partition between the proxies
    /// and this instance.
    bool caller_traffic_cut{false};
    /// That many executes or commits take effect and lose their answer.
    int answers_to_drop{0};
    /// Every statement's answer is held back this long after it ran.
    std::chrono::milliseconds answer_delay{0};
    /// Connections with a lower id never answer again, new ones do.
    std::uint64_t silent_below_id{0};
};

/// Changes the switches that `params` names; `connection` is the id below
/// which `silence_open_connections` silences. Unknown names are ignored.
void update(faults& switches, const Json::Value& params, std::uint64_t connection);

/// The switches as JSON, for the state dump.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::backend
