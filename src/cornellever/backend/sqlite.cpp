#include "cornellever/backend/sqlite.hpp"

namespace cornellever::backend {

namespace {

struct statement_closer {
    void operator()(sqlite3_stmt* statement) const noexcept { sqlite3_finalize(statement); }
};

using statement_ptr = std::unique_ptr<sqlite3_stmt, statement_closer>;

bool only_whitespace(const char* text) {
    for (; *text != '\0'; ++text) {
        if (*text != ' ' && *text != '\n' && *text != '\t' && *text != '\r' && *text != ';') {
            return false;
        }
    }
    return true;
}

errc classify_failure(int code) {
    switch (code & 0xff) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
        return errc::busy;
    case SQLITE_CONSTRAINT:
        return errc::conflict;
    default:
        return errc::bad_request;
    }
}

int bind_value(sqlite3_stmt* statement, int index, const Json::Value& value) {
    if (value.isNull()) {
        return sqlite3_bind_null(statement, index);
    }
    if (value.isBool()) {
        return sqlite3_bind_int(statement, index, value.asBool() ? 1 : 0);
    }
    if (value.isIntegral()) {
        return sqlite3_bind_int64(statement, index, value.asInt64());
    }
    if (value.isDouble()) {
        return sqlite3_bind_double(statement, index, value.asDouble());
    }
    const auto text = value.isString() ? value.asString() : value.toStyledString();
    return sqlite3_bind_text(statement, index, text.c_str(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
}

Json::Value column_value(sqlite3_stmt* statement, int index) {
    switch (sqlite3_column_type(statement, index)) {
    case SQLITE_INTEGER:
        return Json::Value{static_cast<Json::Int64>(sqlite3_column_int64(statement, index))};
    case SQLITE_FLOAT:
        return Json::Value{sqlite3_column_double(statement, index)};
    case SQLITE_NULL:
        return Json::Value{};
    default:
        return Json::Value{reinterpret_cast<const char*>(sqlite3_column_text(statement, index))};
    }
}

} // namespace

result<sqlite_connection> sqlite_connection::open(const std::filesystem::path& file) {
    sqlite3* handle = nullptr;
    const int code = sqlite3_open_v2(file.c_str(), &handle, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    sqlite_connection out{handle};
    if (code != SQLITE_OK) {
        return fail(errc::internal, "cannot open " + file.string() + ": " + sqlite3_errstr(code));
    }
    auto mode = out.exec("PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;");
    if (!mode) {
        return std::unexpected{mode.error()};
    }
    return out;
}

result<void> sqlite_connection::exec(std::string_view script) {
    char* message = nullptr;
    const std::string text{script};
    sqlite3_set_authorizer(m_handle.get(), nullptr, nullptr);
    const int code = sqlite3_exec(m_handle.get(), text.c_str(), nullptr, nullptr, &message);
    if (m_refuses_connection_statements) {
        refuse_connection_statements();
    }
    if (code != SQLITE_OK) {
        std::string reason = message != nullptr ? message : sqlite3_errstr(code);
        sqlite3_free(message);
        return fail(classify_failure(code), reason);
    }
    return {};
}

namespace {

int deny_connection_statements(void*, int action, const char*, const char*, const char*, const char*) {
    switch (action) {
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
    case SQLITE_CREATE_TEMP_TABLE:
    case SQLITE_CREATE_TEMP_VIEW:
    case SQLITE_CREATE_TEMP_INDEX:
    case SQLITE_CREATE_TEMP_TRIGGER:
        return SQLITE_DENY;
    default:
        return SQLITE_OK;
    }
}

} // namespace

void sqlite_connection::refuse_connection_statements() {
    m_refuses_connection_statements = true;
    sqlite3_set_authorizer(m_handle.get(), deny_connection_statements, nullptr);
}

result<access> sqlite_connection::classify(std::string_view sql) {
    sqlite3_stmt* raw = nullptr;
    const int code = sqlite3_prepare_v2(m_handle.get(), sql.data(), static_cast<int>(sql.size()), &raw, nullptr);
    const statement_ptr statement{raw};
    if (code != SQLITE_OK || raw == nullptr) {
        return fail(errc::bad_request, sqlite3_errmsg(m_handle.get()));
    }
    return sqlite3_stmt_readonly(raw) != 0 ? access::read : access::write;
}

result<statement_result> sqlite_connection::run(std::string_view sql, const Json::Value& params) {
    sqlite3_stmt* raw = nullptr;
    const char* tail = nullptr;
    const int prepared = sqlite3_prepare_v2(m_handle.get(), sql.data(), static_cast<int>(sql.size()), &raw, &tail);
    const statement_ptr statement{raw};
    if (prepared != SQLITE_OK || raw == nullptr) {
        return fail(classify_failure(prepared), sqlite3_errmsg(m_handle.get()));
    }
    if (tail != nullptr && tail < sql.data() + sql.size() &&
        !only_whitespace(std::string{tail, sql.data() + sql.size()}.c_str())) {
        return fail(errc::bad_request, "one statement per request");
    }
    for (Json::ArrayIndex index = 0; index < params.size(); ++index) {
        if (bind_value(raw, static_cast<int>(index) + 1, params[index]) != SQLITE_OK) {
            return fail(errc::bad_request, "parameter " + std::to_string(index + 1) + " does not bind");
        }
    }
    // sqlite3_changes does not work here: after a statement that changes no rows,
    // the function still returns the count of an earlier statement, possibly of
    // another user of this connection.
    const auto changed_before = sqlite3_total_changes64(m_handle.get());
    statement_result out;
    out.read_only = sqlite3_stmt_readonly(raw) != 0;
    const int columns = sqlite3_column_count(raw);
    for (int index = 0; index < columns; ++index) {
        out.columns.append(sqlite3_column_name(raw, index));
    }
    int step = SQLITE_ROW;
    while ((step = sqlite3_step(raw)) == SQLITE_ROW) {
        Json::Value row{Json::arrayValue};
        for (int index = 0; index < columns; ++index) {
            row.append(column_value(raw, index));
        }
        out.rows.append(row);
    }
    if (step != SQLITE_DONE) {
        return fail(classify_failure(step), sqlite3_errmsg(m_handle.get()));
    }
    out.changes = sqlite3_total_changes64(m_handle.get()) - changed_before;
    return out;
}

bool sqlite_connection::in_transaction() const noexcept {
    return sqlite3_get_autocommit(m_handle.get()) == 0;
}

} // namespace cornellever::backend
