#pragma once

namespace cornellever::sql {

struct log_position;
struct statement;
struct request;
struct command;
struct reply;
struct statement_error;

} // namespace cornellever::sql
