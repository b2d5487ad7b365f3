#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/request.hpp"
#include "cornellever/proxy/session_token.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

using answer = asio::awaitable<result<Json::Value>>;

/// The parameters of a backend's `execute` call.
[[nodiscard]] Json::Value statement_payload(const execute_request& request);

/// Names the instance that served a request, as reported to the caller.
[[nodiscard]] Json::Value served_by(const instance_view& target);

/// A statement's result as returned to the caller, with the session token.
[[nodiscard]] Json::Value statement_answer(const Json::Value& backend, const session_token& token,
                                           const instance_view& target);

/// The log position reported in a backend's answer to a write.
[[nodiscard]] term_position position_from(const Json::Value& backend);

/// Time left until `until`; at least 1 ms, so that a call started at the deadline still returns its own error.
[[nodiscard]] std::chrono::milliseconds time_left(std::chrono::steady_clock::time_point until);

/// Whether a refused request may be retried as it is: it certainly did not run, and the cause is transient (a
/// failover, a lock, a full connection table). A refusal with a retry delay is returned to the caller instead.
[[nodiscard]] bool is_retryable(const error& refusal) noexcept;

} // namespace cornellever::proxy
