#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cornellever/accounts/key_digest.hpp"
#include "cornellever/sql/position.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A statement that a caller prepared under a name of its own.
struct prepared_statement {
    sql::access access_mode{sql::access::read};
    std::string shape;
};

/// What a caller's session holds beyond a single statement, whichever backend
/// connection runs the next one.
struct session_state {
    std::uint64_t id{0};
    std::string database;
    /// Stands for the caller's key.
    accounts::key_digest key{};
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
    /// The position of the session's last commit, which its later reads must
    /// not lack.
    std::optional<sql::log_position> last_commit;
};

} // namespace cornellever::session
