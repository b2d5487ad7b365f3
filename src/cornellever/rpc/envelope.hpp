#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::rpc {

/// JSON-RPC 2.0 code for errors of the application; `data.kind` says which.
inline constexpr int application_error = -32000;

/// A decoded JSON-RPC 2.0 request.
struct request {
    Json::Value id;
    std::string method;
    Json::Value params;
};

/// Parses one request body; `bad_request` for anything not JSON-RPC 2.0.
[[nodiscard]] result<request> decode_request(std::string_view body);

/// Encodes a call of `method` with `params` under `id`.
[[nodiscard]] std::string encode_request(std::uint64_t id, std::string_view method, const Json::Value& params);

/// Encodes the answer to the request `id`: its result or its error.
[[nodiscard]] std::string encode_response(const Json::Value& id, const result<Json::Value>& answer);

/// Whether `answer`, a parsed body, answers the request `id`: a late or
/// misdirected answer carries another id, a cut one does not parse.
[[nodiscard]] bool is_response_to(const result<Json::Value>& answer, std::uint64_t id);

/// The result inside an answer, or the error it carries.
[[nodiscard]] result<Json::Value> decode_response(const Json::Value& answer);

/// Compact one-line JSON text of `value`.
[[nodiscard]] std::string to_text(const Json::Value& value);

/// Parses JSON text; `bad_request` with the parser's message when it is not JSON.
[[nodiscard]] result<Json::Value> parse_json(std::string_view text);

} // namespace cornellever::rpc
