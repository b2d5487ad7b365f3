#pragma once

#include <optional>
#include <string>

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// What a statement touches.
enum class access { read, write };

/// The statements of the protocol. `reset`, `status` and `step_down` are sent
/// by the proxy only, never accepted from a caller.
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

/// One decoded statement. Which fields hold something depends on the kind.
struct statement {
    statement_kind kind{statement_kind::begin};
    /// The value's name (`set`) or the prepared statement's (`prepare`,
    /// `execute`, `deallocate`).
    std::string name{};
    /// What a prepared statement touches (`prepare`).
    access access_mode{access::read};
    /// The value (`set`), the shape (`prepare`), or the operands exactly as
    /// the caller wrote them (`read`, `write`, `execute`).
    std::string text{};
};

/// A statement of a caller with the id the caller gave it.
struct request {
    std::string id;
    statement what;
};

/// A statement on its way to a backend server.
struct command {
    /// The caller's id; empty for statements that the proxy issues itself.
    std::string request_id{};
    statement what{};
    /// The server refuses (`refusal::behind`) unless its log holds this.
    std::optional<log_position> after{};
};

/// A command of the proxy's own without operands.
[[nodiscard]] inline command proxy_command(statement_kind kind) {
    return command{.what = statement{.kind = kind}};
}

} // namespace cornellever::sql
