#pragma once

namespace cornellever::session {

struct prepared_statement;
struct session_state;
struct connection_session_state;

} // namespace cornellever::session
