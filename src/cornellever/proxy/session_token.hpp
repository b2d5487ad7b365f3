#pragma once

#include <map>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>

#include "cornellever/core/error.hpp"
#include "cornellever/proxy/term_position.hpp"

namespace cornellever::proxy {

/// The state a session carries between requests, so that any proxy can
/// give it read-your-writes: per database (`service/database`), the term
/// and log position of its last write. Returned with every answer.
struct session_token {
    std::map<std::string, write_mark, std::less<>> marks;

    /// The mark for `database`; a zero mark when the session never wrote there.
    [[nodiscard]] write_mark mark_of(std::string_view database) const;

    /// Raises the mark for `database` to `mark` when it is later.
    void advance(std::string_view database, write_mark mark);
};

/// The token as JSON: `{"service/database": {"term": T, "position": P}}`.
[[nodiscard]] Json::Value to_json(const session_token& token);

/// Reads a token; null is the empty token. Errors: `bad_request`.
[[nodiscard]] result<session_token> token_from_json(const Json::Value& value);

} // namespace cornellever::proxy
