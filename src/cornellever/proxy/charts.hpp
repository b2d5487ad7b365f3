#pragma once

#include <string_view>

namespace cornellever::proxy::charts {

/// The text of charts/failover.ini. Compiled into the binary because entry VMs have no disk to read it from.
extern const std::string_view failover;

/// The text of charts/drain.ini.
extern const std::string_view drain;

} // namespace cornellever::proxy::charts
