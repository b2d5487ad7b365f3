#pragma once

#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/session_token.hpp"

namespace cornellever::proxy {

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
};

/// Decodes `execute` params. Errors: `bad_request` naming the field.
[[nodiscard]] result<execute_request> decode_execute(const Json::Value& in);

} // namespace cornellever::proxy
