#pragma once

#include <chrono>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/session_token.hpp"

namespace cornellever::proxy {

/// How long a request may take when its caller does not say.
inline constexpr auto default_request_deadline = std::chrono::milliseconds{5000};

/// Whether the caller declared a statement read-only. Only declared reads
/// may go to replicas, and replicas refuse anything that would write.
enum class intent { read, write };

/// A caller's `execute` request, decoded and checked.
struct execute_request {
    std::string service;
    std::string database;
    std::string sql;
    Json::Value params{Json::arrayValue};
    intent mode{intent::write};
    std::string transaction;
    session_token session;
    /// What kind of request this is, as the service's `non_repeatable` lists them.
    std::string kind;
    /// Given: the request takes effect at most once under this id.
    std::string request_id;
    std::chrono::milliseconds deadline{default_request_deadline};
};

/// A caller's `begin` request, decoded and checked.
struct begin_request {
    std::string service;
    std::string database;
    session_token session;
    std::string kind;
    std::string request_id;
    std::chrono::milliseconds deadline{default_request_deadline};
};

/// A caller's `commit` or `rollback` request, decoded and checked.
struct finish_request {
    std::string transaction;
    session_token session;
};

/// Decodes `execute` params. Errors: `bad_request` naming the field.
[[nodiscard]] result<execute_request> decode_execute(const Json::Value& in);

/// Decodes `begin` params. Errors: `bad_request` naming the field.
[[nodiscard]] result<begin_request> decode_begin(const Json::Value& in);

/// Decodes `commit` and `rollback` params. Errors: `bad_request`.
[[nodiscard]] result<finish_request> decode_finish(const Json::Value& in);

} // namespace cornellever::proxy
