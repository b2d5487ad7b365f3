#include "cornellever/backend/faults.hpp"

namespace cornellever::backend {

void update(faults& switches, const Json::Value& params, std::uint64_t connection) {
    switches.replication_lag =
        std::chrono::milliseconds{params.get("lag_ms", Json::Int64{switches.replication_lag.count()}).asInt64()};
    switches.frozen = params.get("frozen", switches.frozen).asBool();
    switches.replication_blocked = params.get("cut", switches.replication_blocked).asBool();
    switches.caller_traffic_blocked = params.get("callers_cut", switches.caller_traffic_blocked).asBool();
    switches.answers_to_drop = params.get("lose_answers", switches.answers_to_drop).asInt();
    switches.answer_delay =
        std::chrono::milliseconds{params.get("delay_answers_ms", Json::Int64{switches.answer_delay.count()}).asInt64()};
    if (params.get("silence_open_connections", false).asBool()) {
        switches.silent_below_id = connection;
    }
}

Json::Value to_json(const faults& switches) {
    Json::Value out;
    out["lag_ms"] = static_cast<Json::Int64>(switches.replication_lag.count());
    out["frozen"] = switches.frozen;
    out["cut"] = switches.replication_blocked;
    out["callers_cut"] = switches.caller_traffic_blocked;
    out["lose_answers"] = switches.answers_to_drop;
    out["delay_answers_ms"] = static_cast<Json::Int64>(switches.answer_delay.count());
    return out;
}

} // namespace cornellever::backend
