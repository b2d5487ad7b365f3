#pragma once

namespace cornellever::backend {

class sqlite_connection;
struct statement_result;
struct log_entry;
struct log_end;
struct faults;
class write_log;
class database;
class instance;

} // namespace cornellever::backend
