#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// Why a statement failed. `server_did_not_run` returns for which of these reasons the statement certainly did not run.
enum class refusal {
    overloaded,
    aborted,
    behind,
    not_primary,
    wrong_server,
    too_many_connections,
    outcome_unknown,
    timed_out,
    failed,
    malformed,
    no_such_database,
    no_such_prepared_statement,
    /// The key of the caller (the client application) belongs to no account.
    unknown_key,
};

/// The transaction state of a session or connection.
enum class transaction_state { idle, open, failed };

/// The error of a statement, with a human-readable text.
struct statement_error {
    refusal why{refusal::failed};
    std::string text{};
};

/// The complete reply to one statement.
struct reply {
    std::vector<std::string> rows{};
    /// The server's signature, which proves that the server ran the statement. Empty if the proxy sent the reply
    /// itself.
    std::string signature{};
    std::optional<statement_error> error{};
    /// The error of an earlier statement of the same batch, which was to set up the connection for this statement.
    std::optional<statement_error> setup_error{};
    transaction_state state{transaction_state::idle};
    /// The server's log position after the statement.
    std::optional<log_position> position{};
    /// For a commit or a single write: the service in whose log `position` is. Empty if unknown.
    std::string committed_at{};

    [[nodiscard]] bool ok() const noexcept { return !error; }

    /// Returns why the statement failed, or `refusal::failed` if the statement succeeded.
    [[nodiscard]] refusal why() const noexcept { return error ? error->why : refusal::failed; }

    /// Returns the text of the error, or an empty text if the statement succeeded.
    [[nodiscard]] std::string error_text() const { return error ? error->text : std::string{}; }
};

/// Returns the lower-case name of a refusal as used in logs and metrics.
[[nodiscard]] std::string_view to_string(refusal why) noexcept;

/// Whether this refusal, when a server sends it, guarantees that the server did not run the statement.
[[nodiscard]] bool server_did_not_run(refusal why) noexcept;

} // namespace cornellever::sql
