#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// Values and prepared statements that earlier sessions left on a backend
/// connection. They are compared with the state of the session that uses it
/// next, which must see its own and no others.
struct connection_session_state {
    std::map<std::string, std::string, std::less<>> values;
    /// Names of the prepared statements on the connection. A name is derived
    /// from the statement (see `prepared_name`), so that sessions share them.
    std::set<std::string, std::less<>> prepared;
};

/// The name of a prepared statement on backend connections. It is derived from
/// the statement's shape, since names given by different callers may collide.
[[nodiscard]] std::string prepared_name(const prepared_statement& prepared);

/// Returns the statements that bring a connection to exactly the session's
/// values and, unless `needed_statement` is null, to that prepared statement.
/// Updates `connection` to the resulting state. A value that the session does
/// not have requires a reset, which also drops all prepared statements.
[[nodiscard]] std::vector<sql::statement> plan_replay(const session_state& session,
                                                      connection_session_state& connection,
                                                      const prepared_statement* needed_statement);

/// The number of reset and SET statements that `plan_replay` would return; the
/// cost of choosing this connection.
[[nodiscard]] std::size_t replay_cost(const session_state& session, const connection_session_state& connection);

} // namespace cornellever::session
