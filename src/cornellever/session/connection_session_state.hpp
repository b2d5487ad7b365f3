#pragma once

#include <cstdint>
#include <map>
#include <set>
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
    /// Names of the prepared statements on the connection. A name is derived from the statement (see `prepared_name`),
    /// so that sessions share equal statements.
    std::set<std::string, std::less<>> prepared;
};

/// Returns the name under which a statement is prepared on backend connections. The name is derived from the
/// statement's access mode and shape, because different callers may give the same name to different statements.
[[nodiscard]] std::string prepared_name(const prepared_statement& prepared);

/// Returns the statements that prepare a connection for a session: they set exactly the session's values and, unless
/// `needed_statement` is null, prepare that statement. Updates `connection` to the resulting state. If the connection
/// has a value that the session has not set, a reset is required, which also drops all prepared statements.
[[nodiscard]] std::vector<sql::statement> plan_replay(const session_state& session,
                                                      connection_session_state& connection,
                                                      const prepared_statement* needed_statement);

/// Returns the number of reset and SET statements that `plan_replay` would return, as the cost of choosing this
/// connection.
[[nodiscard]] std::size_t replay_cost(const session_state& session, const connection_session_state& connection);

} // namespace cornellever::session
