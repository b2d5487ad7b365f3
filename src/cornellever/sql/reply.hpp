#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// Why a statement had no success. See `promises_no_effect`.
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
    /// The caller's key stands for no account.
    unknown_key,
};

/// Where a session or connection stands with regard to transactions.
enum class transaction_state { idle, open, failed };

/// The error of a statement, with a text for people.
struct statement_error {
    refusal why{refusal::failed};
    std::string text{};
};

/// The whole answer to one statement.
struct reply {
    std::vector<std::string> rows{};
    /// The server's proof that it ran the statement; empty when the proxy
    /// answered by itself.
    std::string signature{};
    std::optional<statement_error> error{};
    transaction_state state{transaction_state::idle};
    std::optional<log_position> position{};

    [[nodiscard]] bool ok() const noexcept { return !error; }

    /// Why it had no success; `failed` for an answer that had.
    [[nodiscard]] refusal why() const noexcept { return error ? error->why : refusal::failed; }

    /// The error's text; empty for an answer that had success.
    [[nodiscard]] std::string error_text() const { return error ? error->text : std::string{}; }
};

/// The lower-case name of a refusal, for logs and metrics.
[[nodiscard]] std::string_view to_string(refusal why) noexcept;

/// True when a server that answers so has not run the statement.
[[nodiscard]] bool server_did_not_run(refusal why) noexcept;

} // namespace cornellever::sql
