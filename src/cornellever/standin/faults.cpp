#include "cornellever/standin/faults.hpp"

namespace cornellever::standin {

void update(faults& switches, const Json::Value& params) {
    if (params.isMember("down")) {
        switches.down = params["down"].asBool();
    }
    if (params.isMember("slow_ms")) {
        switches.added_latency = std::chrono::milliseconds{params["slow_ms"].asInt64()};
    }
    if (params.isMember("lose_answers")) {
        switches.answers_to_drop = params["lose_answers"].asInt();
    }
}

Json::Value to_json(const faults& switches) {
    Json::Value out;
    out["down"] = switches.down;
    out["slow_ms"] = static_cast<Json::Int64>(switches.added_latency.count());
    out["lose_answers"] = switches.answers_to_drop;
    return out;
}

} // namespace cornellever::standin
