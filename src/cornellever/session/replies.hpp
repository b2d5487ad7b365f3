#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/reply.hpp"

namespace cornellever::session {

/// Returns a success reply that the proxy sends without asking a server. `state` is the session's transaction state
/// after the request.
[[nodiscard]] inline sql::reply acknowledged(sql::transaction_state state) {
    sql::reply out;
    out.state = state;
    return out;
}

/// Returns an error reply. `state` is the session's transaction state after the request.
[[nodiscard]] inline sql::reply refused(sql::refusal why, std::string text, sql::transaction_state state) {
    sql::reply out;
    out.error = sql::statement_error{why, std::move(text)};
    out.state = state;
    return out;
}

/// Returns an error reply to a request that did not run and may be retried after `retry_after`.
[[nodiscard]] inline sql::reply refused_for_now(std::string_view reason, std::chrono::milliseconds retry_after) {
    return refused(sql::refusal::overloaded,
                   std::string{reason} + "; retry after " + std::to_string(to_ms(retry_after)) + " ms",
                   sql::transaction_state::idle);
}

} // namespace cornellever::session
