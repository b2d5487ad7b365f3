#pragma once

#include <string_view>

namespace cornellever::cluster::charts {

/// The text of charts/promotion.ini, the state machine of a promotion. It is compiled into the
/// binary because the VMs have no disk to read it from.
extern const std::string_view promotion;

} // namespace cornellever::cluster::charts
