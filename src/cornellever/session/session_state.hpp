#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cornellever/accounts/key_digest.hpp"
#include "cornellever/session/commit_positions.hpp"
#include "cornellever/sql/position.hpp"
#include "cornellever/sql/statement.hpp"

namespace cornellever::session {

/// A statement that a caller (a connected client application) prepared. The name that the caller chose is the key in
/// `session_state::prepared`.
struct prepared_statement {
    sql::access access_mode{sql::access::read};
    std::string shape;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// State of a caller's session that persists between statements. The proxy restores the values and prepared statements
/// on the backend connection that runs the next statement.
struct session_state {
    /// Bounds the values and prepared statements of a session, with their names. They fit into what one connection
    /// buffers, together with a statement of the maximum length.
    static constexpr std::size_t max_stored_bytes = std::size_t{2} * 1024 * 1024;

    std::uint64_t id{0};
    std::string database;
    /// Digest of the caller's API key.
    accounts::key_digest key{};
    std::map<std::string, std::string, std::less<>> values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
    /// Log position of the session's last commit at each service. Later reads at a service run only on servers that
    /// have applied it (read-your-writes), also after the database's route was moved to another service and back.
    commit_positions last_commits;
    /// What the values and prepared statements take, approximately. Kept by the functions below.
    std::size_t stored_bytes{0};

    /// Sets a value. Returns false and changes nothing if the session would hold more than `max_stored_bytes`.
    [[nodiscard]] bool set_value(const std::string& name, const std::string& value);

    /// Stores a prepared statement. Returns false and changes nothing if the session would hold more than
    /// `max_stored_bytes`.
    [[nodiscard]] bool prepare(const std::string& name, prepared_statement statement);

    /// Removes a prepared statement. Returns false if there is none with this name.
    [[nodiscard]] bool deallocate(std::string_view name);

    /// Returns the position of the session's last commit at `service`, or nothing if there is none.
    [[nodiscard]] std::optional<sql::log_position> last_commit_at(std::string_view service) const {
        const auto found = last_commits.find(service);
        return found == last_commits.end() ? std::nullopt : std::optional{found->second};
    }
};

} // namespace cornellever::session
