#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include <jsoncpp/json/value.h>
#include <sqlite3.h>

#include "cornellever/core/error.hpp"

namespace cornellever::backend {

/// The result of one statement.
struct statement_result {
    Json::Value columns{Json::arrayValue};
    Json::Value rows{Json::arrayValue};
    /// The number of rows changed.
    std::int64_t changes{0};
    bool read_only{true};
};

/// Whether a statement may change data, which SQLite reports before the
/// execution.
enum class access { read, write };

/// One SQLite connection to the instance's database file.
class sqlite_connection {
public:
    /// Opens `file` in WAL mode. Errors: `internal` when SQLite cannot open the
    /// file.
    [[nodiscard]] static result<sqlite_connection> open(const std::filesystem::path& file);

    /// Runs one statement with positional `params` (a JSON array). Errors:
    /// `bad_request` when `sql` cannot be prepared or contains more than one
    /// statement; `busy` when another connection holds the write lock; `conflict`
    /// when a constraint is violated, in which case SQLite rolls the statement
    /// back. In all these cases the statement has no effect.
    [[nodiscard]] result<statement_result> run(std::string_view sql, const Json::Value& params);

    /// Prepares `sql` without running it and returns whether the statement only
    /// reads. Errors: `bad_request` when `sql` cannot be prepared.
    [[nodiscard]] result<access> classify(std::string_view sql);

    /// Runs a script of statements without parameters, such as the schema, the
    /// seed data or BEGIN.
    [[nodiscard]] result<void> exec(std::string_view script);

    /// Whether a transaction is open on this connection.
    [[nodiscard]] bool in_transaction() const noexcept;

    /// Makes `run` refuse, with `bad_request`, statements that change the
    /// connection's state: BEGIN, COMMIT, SAVEPOINT, ATTACH, PRAGMA and TEMP
    /// objects. `exec` may still run such statements.
    void refuse_connection_statements();

private:
    struct closer {
        void operator()(sqlite3* handle) const noexcept { sqlite3_close_v2(handle); }
    };

    explicit sqlite_connection(sqlite3* handle) : m_handle{handle} {}

    std::unique_ptr<sqlite3, closer> m_handle;
    bool m_refuses_connection_statements{false};
};

} // namespace cornellever::backend
