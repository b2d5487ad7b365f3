#pragma once

#include <chrono>
#include <cstdint>

#include <jsoncpp/json/value.h>

namespace cornellever::backend {

/// Injected faults of the stand-in server, set at run time with `fault.set`.
struct faults {
    /// How long a replica waits after receiving an entry before applying it.
    std::chrono::milliseconds replication_lag{0};
    /// Nothing is answered, shipped or applied: a crashed or hung VM.
    bool frozen{false};
    /// No replication in or out: a network partition between the instances.
    bool replication_blocked{false};
    /// Only replication is answered: a network partition between the proxies
    /// and this instance.
    bool caller_traffic_blocked{false};
    /// The number of following `execute` and `commit` calls that take effect
    /// without their answer being sent.
    int answers_to_drop{0};
    /// Delay between the execution of a statement and its answer.
    std::chrono::milliseconds answer_delay{0};
    /// Connections with a lower id never answer again; new ones do.
    std::uint64_t silent_below_id{0};
};

/// Changes the faults that `params` names and leaves the others as they are;
/// unknown names are ignored. `connection` is the id of the calling connection:
/// `silence_open_connections` silences all connections with a lower id.
void update(faults& switches, const Json::Value& params, std::uint64_t connection);

/// The current faults as JSON, for the state dump.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::backend
