#include "cornellever/session/connection_session_state.hpp"

#include <algorithm>

namespace cornellever::session {

namespace {

bool has_foreign_value(const session_state& session, const connection_session_state& connection) {
    return std::ranges::any_of(connection.values,
                               [&](const auto& item) { return !session.values.contains(item.first); });
}

bool has_value(const connection_session_state& connection, const std::string& name, const std::string& value) {
    const auto found = connection.values.find(name);
    return found != connection.values.end() && found->second == value;
}

} // namespace

std::string prepared_name(const prepared_statement& prepared) {
    return (prepared.access_mode == sql::access::read ? "r_" : "w_") + prepared.shape;
}

std::vector<sql::statement> plan_replay(const session_state& session, connection_session_state& connection,
                                        const prepared_statement* needed_statement) {
    std::vector<sql::statement> out;
    if (has_foreign_value(session, connection)) {
        out.push_back({.kind = sql::statement_kind::reset});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : session.values) {
        if (!has_value(connection, name, value)) {
            out.push_back({.kind = sql::statement_kind::set, .name = name, .text = value});
            connection.values.insert_or_assign(name, value);
        }
    }
    if (needed_statement != nullptr && connection.prepared.insert(prepared_name(*needed_statement)).second) {
        out.push_back({.kind = sql::statement_kind::prepare,
                       .name = prepared_name(*needed_statement),
                       .access_mode = needed_statement->access_mode,
                       .text = needed_statement->shape});
    }
    return out;
}

std::size_t replay_cost(const session_state& session, const connection_session_state& connection) {
    std::size_t cost = 0;
    const bool reset = has_foreign_value(session, connection);
    if (reset) {
        ++cost;
    }
    for (const auto& [name, value] : session.values) {
        if (reset || !has_value(connection, name, value)) {
            ++cost;
        }
    }
    return cost;
}

} // namespace cornellever::session
