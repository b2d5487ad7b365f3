#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornellever/session/session_state.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// What a backend connection holds from the sessions it served, so that the
/// next one finds its own values and prepared statements there and no others.
struct connection_session_state {
    std::map<std::string, std::string, std::less<>> values;
    /// Names of prepared statements on the connection. A name is made from
    /// what it runs (`prepared_name`), so that sessions share it.
    std::set<std::string, std::less<>> prepared;
};

/// The name under which a prepared statement is known on backend
/// connections. Callers' own names collide; this one stands for the shape.
[[nodiscard]] std::string prepared_name(const prepared_statement& what);

/// The statements that make a connection hold exactly the session's values
/// and, when `needed_statement` is given, that prepared statement; `connection` is brought
/// up to what they leave. A value that the session lacks needs a reset, which
/// takes the connection's prepared statements with it.
[[nodiscard]] std::vector<sql::statement> plan_replay(const session_state& session,
                                                      connection_session_state& connection,
                                                      const prepared_statement* needed_statement);

/// How many statements `plan_replay` would send, without changing anything:
/// what choosing this connection costs.
[[nodiscard]] std::size_t replay_cost(const session_state& session, const connection_session_state& connection);

} // namespace cornellever::session
