#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// The values (set with SET) and prepared statements that earlier sessions left on a connection to a backend server.
/// They are compared with the state of the next session that uses the connection, because that session must see its own
/// values and no others.
struct connection_session_state {
    std::map<std::string, std::string, std::less<>> values;
    /// The names under which statements are prepared on the connection. Sessions share equal statements. A name is used
    /// for one statement only, so that a refused PREPARE never leaves its name to another statement, and contains
    /// nothing of what callers send.
    std::map<prepared_statement, std::string> prepared;
    /// Number of names that were used on the connection.
    std::uint64_t used_names{0};
};

/// Returns the statements that prepare a connection for a session: they set exactly the session's values and, unless
/// `needed_statement` is null, prepare that statement. Updates `connection` to the resulting state. A reset, which also
/// drops all prepared statements, is required if the connection has a value that the session has not set, or if it has
/// no room for a further prepared statement.
[[nodiscard]] std::vector<sql::statement> plan_replay(const session_state& session,
                                                      connection_session_state& connection,
                                                      const prepared_statement* needed_statement);

/// Returns the number of reset and SET statements that `plan_replay` would return, as the cost of choosing this
/// connection.
[[nodiscard]] std::size_t replay_cost(const session_state& session, const connection_session_state& connection);

} // namespace cornellever::session
