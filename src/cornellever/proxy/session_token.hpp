#pragma once

#include <map>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/term_position.hpp"

namespace cornellever::proxy {

/// The state that a session carries between requests, so that any proxy can provide read-your-writes: per database
/// (`service/database`), the term and log position of its last write. Returned with every answer.
struct session_token {
    std::map<std::string, term_position, std::less<>> last_writes;

    /// The session's last write to `database`; zero if there is none.
    [[nodiscard]] term_position last_write_to(std::string_view database) const;

    /// Raises the last write to `database` to `last_write` if that is later.
    void advance(std::string_view database, term_position last_write);
};

/// The token as JSON: `{"service/database": {"term": T, "position": P}}`.
[[nodiscard]] Json::Value to_json(const session_token& token);

/// Reads a token; null is the empty token. Errors: `bad_request`.
[[nodiscard]] result<session_token> token_from_json(const Json::Value& value);

} // namespace cornellever::proxy
