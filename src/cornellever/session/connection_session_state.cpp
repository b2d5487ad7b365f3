#include "cornellever/session/connection_session_state.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

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

/// Bounds what the prepared statements of a connection take in memory, here and at the server.
constexpr std::size_t max_prepared_statements = 256;
constexpr std::size_t max_prepared_bytes = std::size_t{1024} * 1024;

bool has_room_for(const connection_session_state& connection, const prepared_statement& needed) {
    auto bytes = needed.shape.size();
    for (const auto& [prepared, name] : connection.prepared) {
        bytes += prepared.shape.size();
    }
    return connection.prepared.empty() ||
           (connection.prepared.size() < max_prepared_statements && bytes <= max_prepared_bytes);
}

/// Returns a name that was not used on the connection before. The first names have one character, so that an EXECUTE
/// is not longer than that of its caller.
std::string next_name(connection_session_state& connection) {
    constexpr int base = 36;
    std::array<char, std::numeric_limits<std::uint64_t>::digits> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), connection.used_names++, base);
    return {digits.data(), written.ptr};
}

} // namespace

std::vector<sql::statement> plan_replay(const session_state& session, connection_session_state& connection,
                                        const prepared_statement* needed_statement) {
    std::vector<sql::statement> out;
    const bool prepares = needed_statement != nullptr && !connection.prepared.contains(*needed_statement);
    if (has_foreign_value(session, connection) || (prepares && !has_room_for(connection, *needed_statement))) {
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
    if (needed_statement != nullptr && !connection.prepared.contains(*needed_statement)) {
        const auto& name = connection.prepared.emplace(*needed_statement, next_name(connection)).first->second;
        out.push_back({.kind = sql::statement_kind::prepare,
                       .name = name,
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
