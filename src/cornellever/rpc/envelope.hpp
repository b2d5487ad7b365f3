#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"

namespace cornellever::rpc {

/// JSON-RPC 2.0 error code of application errors, whose `data.kind` contains the
/// `errc` name.
inline constexpr int application_error = -32000;

/// A JSON-RPC 2.0 request.
struct request {
    Json::Value id;
    std::string method;
    Json::Value params;
};

/// Parses a request body. Errors: `bad_request` when the body is not a JSON-RPC
/// 2.0 request whose parameters, if any, are an object.
[[nodiscard]] result<request> decode_request(std::string_view body);

[[nodiscard]] std::string encode_request(std::uint64_t id, std::string_view method, const Json::Value& params);

/// Encodes the response to request `id`, which contains either a result or an
/// error.
[[nodiscard]] std::string encode_response(const Json::Value& id, const result<Json::Value>& answer);

/// Whether `answer`, a parsed response body, is the response to request `id`.
/// Returns false for a late or misdirected response, which has another id, and
/// for a truncated response, which cannot be parsed.
[[nodiscard]] bool is_response_to(const result<Json::Value>& answer, std::uint64_t id);

/// Returns the result or the error that a parsed response contains. A malformed
/// error object is returned as `outcome_unknown`.
[[nodiscard]] result<Json::Value> decode_response(const Json::Value& answer);

/// Serializes `value` as JSON on a single line.
[[nodiscard]] std::string to_text(const Json::Value& value);

/// Parses JSON. Errors: `bad_request` with the parser's message.
[[nodiscard]] result<Json::Value> parse_json(std::string_view text);

} // namespace cornellever::rpc
