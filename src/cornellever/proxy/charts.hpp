#pragma once

#include <string_view>

namespace cornellever::proxy::charts {

/// The text of charts/failover.ini, the state chart (a state machine read from an INI file) of a failover. Compiled
/// into the binary because entry VMs, on which proxies run, have no disk to read the file from.
extern const std::string_view failover;

/// The text of charts/drain.ini, the state chart of a graceful shutdown.
extern const std::string_view drain;

} // namespace cornellever::proxy::charts
