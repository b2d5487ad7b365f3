#pragma once

#include <chrono>
#include <cstdint>

#include <jsoncpp/json/value.h>

namespace cornellever::backend {

/// Faults injected into a stand-in server (a simulated backend server for tests),
/// set at run time with `fault.set`.
struct faults {
    /// How long a replica waits between receiving and applying an entry.
    std::chrono::milliseconds replication_lag{0};
    /// The server responds to no request, replicates nothing and applies nothing,
    /// like a crashed or hung VM.
    bool frozen{false};
    /// The server neither sends nor receives log entries, as in a network
    /// partition between the instances.
    bool replication_blocked{false};
    /// The server responds only to replication, as in a network partition between
    /// the proxies and this instance.
    bool caller_traffic_blocked{false};
    /// The number of following `execute` and `commit` calls that take effect but
    /// whose responses are not sent.
    int answers_to_drop{0};
    /// Delay between the execution of a statement and its response.
    std::chrono::milliseconds answer_delay{0};
    /// Connections whose id is lower than this value get no further responses;
    /// newer connections do.
    std::uint64_t silent_below_id{0};
};

/// Changes the faults that `params` names and leaves the others unchanged;
/// unknown names are ignored. `connection` is the id of the calling connection:
/// the fault `silence_open_connections` affects all connections with a lower id.
void update(faults& switches, const Json::Value& params, std::uint64_t connection);

/// The current faults as JSON, for the state dump.
[[nodiscard]] Json::Value to_json(const faults& switches);

} // namespace cornellever::backend
