#include "cornellever/rpc/envelope.hpp"

#include <memory>

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/writer.h>

namespace cornellever::rpc {

namespace {

constexpr int parse_error = -32700;
constexpr int invalid_request = -32600;

Json::Value error_object(const error& failure) {
    Json::Value out;
    out["code"] = failure.code == errc::bad_request ? invalid_request : application_error;
    out["message"] = failure.message;
    out["data"]["kind"] = std::string{to_string(failure.code)};
    out["data"]["ran"] = guarantees_not_executed(failure.code) ? "no" : "unknown";
    if (failure.retry_after.count() > 0) {
        out["data"]["retry_after_ms"] = static_cast<Json::Int64>(failure.retry_after.count());
    }
    return out;
}

error error_from_object(const Json::Value& object) {
    if (!object.isObject() || !object["message"].isString() || !object["code"].isInt()) {
        return error{errc::outcome_unknown, "the error in the answer is malformed", {}};
    }
    const auto& data = object["data"];
    if (data.isObject() && data["kind"].isString()) {
        const auto& delay_ms = data["retry_after_ms"];
        return error{errc_from_string(data["kind"].asString()), object["message"].asString(),
                     std::chrono::milliseconds{delay_ms.isInt64() ? delay_ms.asInt64() : 0}};
    }
    const auto code = object["code"].asInt();
    // Standard JSON-RPC errors (parse error, unknown method, invalid params) are raised before any handler runs.
    const bool refused = code <= invalid_request && code >= parse_error;
    return error{refused ? errc::bad_request : errc::outcome_unknown, object["message"].asString(), {}};
}

} // namespace

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

result<Json::Value> parse_json(std::string_view text) {
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string problem;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
            return fail(errc::bad_request, "not JSON: " + problem);
        }
    } catch (const Json::Exception& too_deep) {
        // jsoncpp throws on input with too many nesting levels.
        return fail(errc::bad_request, std::string{"not JSON: "} + too_deep.what());
    }
    return value;
}

result<request> decode_request(std::string_view body) {
    auto parsed = parse_json(body);
    if (!parsed) {
        return std::unexpected{parsed.error()};
    }
    const auto& value = *parsed;
    if (!value.isObject() || value["jsonrpc"] != "2.0" || !value["method"].isString()) {
        return fail(errc::bad_request, "not a JSON-RPC 2.0 request");
    }
    const auto& params = value["params"];
    if (!params.isNull() && !params.isObject()) {
        return fail(errc::bad_request, "params must be an object");
    }
    return request{value["id"], value["method"].asString(), params.isNull() ? Json::Value{Json::objectValue} : params};
}

std::string encode_request(std::uint64_t id, std::string_view method, const Json::Value& params) {
    Json::Value out;
    out["jsonrpc"] = "2.0";
    out["id"] = static_cast<Json::UInt64>(id);
    out["method"] = std::string{method};
    out["params"] = params;
    return to_text(out);
}

std::string encode_response(const Json::Value& id, const result<Json::Value>& answer) {
    Json::Value out;
    out["jsonrpc"] = "2.0";
    out["id"] = id;
    if (answer) {
        out["result"] = *answer;
    } else {
        out["error"] = error_object(answer.error());
    }
    return to_text(out);
}

bool is_response_to(const result<Json::Value>& answer, std::uint64_t id) {
    return answer && answer->isObject() && (*answer)["id"].isUInt64() && (*answer)["id"].asUInt64() == id;
}

result<Json::Value> decode_response(const Json::Value& answer) {
    if (answer.isMember("error")) {
        return std::unexpected{error_from_object(answer["error"])};
    }
    return answer["result"];
}

} // namespace cornellever::rpc
