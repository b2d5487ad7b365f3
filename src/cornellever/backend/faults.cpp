#include "cornellever/backend/faults.hpp"

namespace cornellever::backend {

void update(faults& switches, const Json::Value& params, std::uint64_t connection) {
    switches.lag = std::chrono::milliseconds{params.get("lag_ms", Json::Int64{switches.lag.count()}).asInt64()};
    switches.frozen = params.get("frozen", switches.frozen).asBool();
    switches.cut = params.get("cut", switches.cut).asBool();
    switches.callers_cut = params.get("callers_cut", switches.callers_cut).asBool();
    switches.lose_answers = params.get("lose_answers", switches.lose_answers).asInt();
    switches.delay_answers = std::chrono::milliseconds{
        params.get("delay_answers_ms", Json::Int64{switches.delay_answers.count()}).asInt64()};
    if (params.get("silence_open_connections", false).asBool()) {
        switches.silent_below = connection;
    }
}

Json::Value to_json(const faults& switches) {
    Json::Value out;
    out["lag_ms"] = static_cast<Json::Int64>(switches.lag.count());
    out["frozen"] = switches.frozen;
    out["cut"] = switches.cut;
    out["callers_cut"] = switches.callers_cut;
    out["lose_answers"] = switches.lose_answers;
    out["delay_answers_ms"] = static_cast<Json::Int64>(switches.delay_answers.count());
    return out;
}

} // namespace cornellever::backend
