#pragma once

#include <chrono>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/session_token.hpp"

namespace cornellever::proxy {

/// Deadline of a request for which the caller (the client application) sets none.
inline constexpr auto default_request_deadline = std::chrono::milliseconds{5000};

/// Whether the caller declared the statement read-only. Only statements declared as reads are sent to replicas, and
/// replicas refuse every write.
enum class intent { read, write };

/// A decoded and validated `execute` request.
struct execute_request {
    std::string service;
    std::string database;
    std::string sql;
    Json::Value params{Json::arrayValue};
    intent mode{intent::write};
    std::string transaction;
    session_token session;
    /// The kind of the request, chosen by the caller. A request whose kind is in the service's `non_repeatable` list
    /// needs a request id.
    std::string kind;
    /// If not empty, the request takes effect at most once, however often it is sent with this id within
    /// `request_id_retention`.
    std::string request_id;
    std::chrono::milliseconds deadline{default_request_deadline};
};

/// A decoded and validated `begin` request.
struct begin_request {
    std::string service;
    std::string database;
    session_token session;
    std::string kind;
    std::string request_id;
    std::chrono::milliseconds deadline{default_request_deadline};
};

/// A decoded and validated `commit` or `rollback` request.
struct finish_request {
    std::string transaction;
    session_token session;
};

/// Decodes the parameters of `execute`. Errors: `bad_request` naming the field.
[[nodiscard]] result<execute_request> decode_execute(const Json::Value& in);

/// Decodes the parameters of `begin`. Errors: `bad_request` naming the field.
[[nodiscard]] result<begin_request> decode_begin(const Json::Value& in);

/// Decodes the parameters of `commit` and `rollback`. Errors: `bad_request`.
[[nodiscard]] result<finish_request> decode_finish(const Json::Value& in);

} // namespace cornellever::proxy
