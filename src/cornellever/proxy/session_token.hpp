#pragma once

#include <map>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/term_position.hpp"

namespace cornellever::proxy {

/// The state that a caller (a client application) sends with each request of a session, so that any proxy can guarantee
/// that the session reads its own writes: for each database (`service/database`), the term and log position of the
/// session's last write. Every response returns the updated token.
struct session_token {
    std::map<std::string, term_position, std::less<>> last_writes;

    /// Returns the session's last write to `database`; zero if there is none.
    [[nodiscard]] term_position last_write_to(std::string_view database) const;

    /// Sets the last write to `database` to `last_write` if `last_write` is later.
    void advance(std::string_view database, term_position last_write);
};

/// Returns the token as JSON: `{"service/database": {"term": T, "position": P}}`.
[[nodiscard]] Json::Value to_json(const session_token& token);

/// Parses a token; null is the empty token. Errors: `bad_request`.
[[nodiscard]] result<session_token> token_from_json(const Json::Value& value);

} // namespace cornellever::proxy
