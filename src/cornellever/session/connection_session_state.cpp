#include "cornellever/session/connection_session_state.hpp"

#include <algorithm>

namespace cornellever::session {

namespace {

bool holds_foreign_value(const session_state& session, const connection_session_state& memory) {
    return std::ranges::any_of(memory.values, [&](const auto& item) { return !session.values.contains(item.first); });
}

bool holds_same(const connection_session_state& memory, const std::string& name, const std::string& value) {
    const auto found = memory.values.find(name);
    return found != memory.values.end() && found->second == value;
}

} // namespace

std::string prepared_name(const prepared_statement& what) {
    return (what.touches == sql::access::read ? "r_" : "w_") + what.shape;
}

std::vector<sql::statement> plan_replay(const session_state& session, connection_session_state& memory,
                                        const prepared_statement* needed) {
    std::vector<sql::statement> out;
    if (holds_foreign_value(session, memory)) {
        out.push_back({.kind = sql::statement_kind::reset});
        memory.values.clear();
        memory.prepared.clear();
    }
    for (const auto& [name, value] : session.values) {
        if (!holds_same(memory, name, value)) {
            out.push_back({.kind = sql::statement_kind::set, .name = name, .text = value});
            memory.values.insert_or_assign(name, value);
        }
    }
    if (needed != nullptr && memory.prepared.insert(prepared_name(*needed)).second) {
        out.push_back({.kind = sql::statement_kind::prepare,
                       .name = prepared_name(*needed),
                       .touches = needed->touches,
                       .text = needed->shape});
    }
    return out;
}

std::size_t replay_cost(const session_state& session, const connection_session_state& memory) {
    std::size_t cost = 0;
    const bool reset = holds_foreign_value(session, memory);
    if (reset) {
        ++cost;
    }
    for (const auto& [name, value] : session.values) {
        if (reset || !holds_same(memory, name, value)) {
            ++cost;
        }
    }
    return cost;
}

} // namespace cornellever::session
