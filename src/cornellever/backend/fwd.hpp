#pragma once

namespace cornellever::backend {

class sqlite_connection;
struct statement_result;
struct log_entry;
class instance;

} // namespace cornellever::backend
