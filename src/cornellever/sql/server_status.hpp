#pragma once

#include "cornellever/sql/position.hpp"

namespace cornellever::sql {

/// What a backend server says of itself when asked.
struct server_status {
    bool is_primary{false};
    /// The newest term that it knows.
    std::uint64_t term{0};
    /// The end of the log that it has received, applied or not.
    log_position received;
};

} // namespace cornellever::sql
