#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/request.hpp"
#include "cornellever/proxy/session_token.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

using answer = asio::awaitable<result<Json::Value>>;

/// The `execute` params for a backend.
[[nodiscard]] Json::Value statement_payload(const execute_request& request);

/// Which instance served a request, as callers are told.
[[nodiscard]] Json::Value served_by(const instance_view& target);

/// A statement's rows as callers get them, with the session token.
[[nodiscard]] Json::Value statement_answer(const Json::Value& backend, const session_token& token,
                                           const instance_view& target);

/// The log position that a backend's answer to a write names.
[[nodiscard]] write_mark mark_from(const Json::Value& backend);

/// Time left until `until`; at least one millisecond, so that a call made
/// at the last moment still fails with its own error.
[[nodiscard]] std::chrono::milliseconds time_left(std::chrono::steady_clock::time_point until);

/// Whether a refused request may simply be sent again: it was certainly not
/// run, and what refused it passes (a failover, a lock, a full connection
/// table). A refusal that names a time to come back is for the caller.
[[nodiscard]] bool worth_retrying(const error& refusal) noexcept;

} // namespace cornellever::proxy
