#pragma once

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// A backend server's reply to `statement_kind::status`.
struct server_status {
    bool is_primary{false};
    /// The newest term that the server knows of.
    std::uint64_t term{0};
    /// The last log position that the server has received, whether already applied or not.
    log_position received;
};

} // namespace cornellever::sql
