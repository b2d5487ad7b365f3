#pragma once

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// A backend server's answer to `statement_kind::status`.
struct server_status {
    bool is_primary{false};
    /// The newest term that it knows of.
    std::uint64_t term{0};
    /// The last position that it has received, applied or not.
    log_position received;
};

} // namespace cornellever::sql
