#include "cornellever/standin/faults.hpp"

namespace cornellever::standin {

void update(faults& switches, const Json::Value& params) {
    if (params.isMember("down")) {
        switches.down = params["down"].asBool();
    }
    if (params.isMember("slow_ms")) {
        switches.slow = std::chrono::milliseconds{params["slow_ms"].asInt64()};
    }
    if (params.isMember("lose_answers")) {
        switches.lose_answers = params["lose_answers"].asInt();
    }
}

Json::Value to_json(const faults& switches) {
    Json::Value out;
    out["down"] = switches.down;
    out["slow_ms"] = static_cast<Json::Int64>(switches.slow.count());
    out["lose_answers"] = switches.lose_answers;
    return out;
}

} // namespace cornellever::standin
