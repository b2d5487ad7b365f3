#include "cornellever/proxy/answer.hpp"

#include <algorithm>

#include "cornellever/rpc/fields.hpp"

namespace cornellever::proxy {

Json::Value statement_payload(const execute_request& request) {
    Json::Value out;
    out["sql"] = request.sql;
    out["params"] = request.params;
    return out;
}

Json::Value served_by(const instance_view& target) {
    Json::Value out;
    out["instance"] = target.key;
    out["role"] = target.primary ? "primary" : "replica";
    out["zone"] = target.zone;
    return out;
}

Json::Value statement_answer(const Json::Value& backend, const session_token& token, const instance_view& target) {
    Json::Value out;
    out["columns"] = backend["columns"];
    out["rows"] = backend["rows"];
    out["changes"] = backend["changes"];
    out["session"] = to_json(token);
    out["served_by"] = served_by(target);
    return out;
}

term_position position_from(const Json::Value& backend) {
    return term_position{rpc::uint_field(backend, "term"), rpc::uint_field(backend, "position")};
}

std::chrono::milliseconds time_left(std::chrono::steady_clock::time_point until) {
    const auto left = until - std::chrono::steady_clock::now();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(left), std::chrono::milliseconds{1});
}

bool is_retryable(const error& refusal) noexcept {
    const bool transient =
        refusal.code == errc::fenced || refusal.code == errc::unavailable || refusal.code == errc::busy;
    return transient && refusal.retry_after.count() == 0;
}

} // namespace cornellever::proxy
