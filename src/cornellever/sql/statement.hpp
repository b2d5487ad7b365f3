#pragma once

#include <optional>
#include <string>

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// Whether a statement only reads or also writes.
enum class access { read, write };

/// The statements of the protocol. `reset`, `status` and `step_down` are only sent by the proxy and never accepted from
/// a caller (a client application).
enum class statement_kind {
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set,
    prepare,
    execute,
    deallocate,
    reset,
    status,
    step_down,
};

/// One decoded statement. Which fields are used depends on the kind.
struct statement {
    statement_kind kind{statement_kind::begin};
    /// The name of the value (`set`) or of the prepared statement (`prepare`,
    /// `execute`, `deallocate`).
    std::string name{};
    /// The access mode of a prepared statement (`prepare`).
    access access_mode{access::read};
    /// The value (`set`), the statement's shape (`prepare`), or the operands (`read`, `write`, `execute`), exactly as
    /// the caller wrote them. They may contain blanks and any other bytes but CR LF.
    std::string text{};
};

/// A caller's statement, with the id that the caller assigned to it.
struct request {
    std::string id;
    statement what;
};

/// A statement to be sent to a backend server.
struct command {
    /// The id of the caller's request; empty for a statement that the proxy itself issues.
    std::string request_id{};
    statement what{};
    /// The log position that the server must hold. A server whose log does not hold it refuses the statement with
    /// `refusal::behind`.
    std::optional<log_position> after{};
};

/// Returns a statement without operands that the proxy itself issues.
[[nodiscard]] inline command proxy_command(statement_kind kind) {
    return command{.what = statement{.kind = kind}};
}

} // namespace cornellever::sql
