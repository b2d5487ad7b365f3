#pragma once

#include <chrono>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/request.hpp"
#include "cornellever/proxy/session_token.hpp"
#include "cornellever/proxy/topology.hpp"

namespace cornellever::proxy {

using answer = asio::awaitable<result<Json::Value>>;

/// Returns the parameters for a backend server's `execute` call.
[[nodiscard]] Json::Value statement_payload(const execute_request& request);

/// Returns the description of the backend instance that served a request, as reported to the caller (the client
/// application connected to the proxy).
[[nodiscard]] Json::Value served_by(const instance_view& target);

/// Returns a statement's result in the form sent to the caller, with the session token. `backend` is the backend
/// server's response.
[[nodiscard]] Json::Value statement_answer(const Json::Value& backend, const session_token& token,
                                           const instance_view& target);

/// Returns the term and log position reported in a backend server's response to a write.
[[nodiscard]] term_position position_from(const Json::Value& backend);

/// Returns the time left until `until`, but at least 1 ms: a call that is started at its deadline then still fails with
/// an error of its own.
[[nodiscard]] std::chrono::milliseconds time_left(std::chrono::steady_clock::time_point until);

/// Whether the proxy may retry a refused request unchanged: the request certainly did not run, and the cause of the
/// refusal is transient (a failover, a lock, a full connection pool). A refusal that carries a retry delay is not
/// retried but returned to the caller.
[[nodiscard]] bool is_retryable(const error& refusal) noexcept;

} // namespace cornellever::proxy
