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

/// What one statement gave back.
struct statement_result {
    Json::Value columns{Json::arrayValue};
    Json::Value rows{Json::arrayValue};
    std::int64_t changes{0};
    bool read_only{true};
};

/// Whether a statement may change data; learnt from SQLite before running it.
enum class access { read, write };

/// One SQLite connection to the instance's database file.
class sqlite_connection {
public:
    /// Opens `file` in WAL mode. Errors: `internal` when SQLite cannot.
    [[nodiscard]] static result<sqlite_connection> open(const std::filesystem::path& file);

    /// Runs one statement with positional `params` (a JSON array).
    /// Errors: `bad_request` for SQL that does not prepare or holds more than
    /// one statement (not run); `busy` when another connection holds the
    /// write lock (not run); `conflict` when a constraint refuses the change
    /// (not run: SQLite undoes the statement).
    [[nodiscard]] result<statement_result> run(std::string_view sql, const Json::Value& params);

    /// Whether `sql` would only read, without running it.
    [[nodiscard]] result<access> classify(std::string_view sql);

    /// Runs a script of statements without parameters (schema, seed, BEGIN).
    [[nodiscard]] result<void> exec(std::string_view script);

    /// True while a transaction is open on this connection.
    [[nodiscard]] bool in_transaction() const noexcept;

    /// From now on statements that would change the connection itself
    /// (BEGIN, COMMIT, SAVEPOINT, ATTACH, PRAGMA, TEMP tables) are refused as
    /// `bad_request`, not run; `exec` stays free to use them.
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
