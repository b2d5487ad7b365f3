#pragma once

#include <string_view>

namespace cornellever::cluster::charts {

/// The texts of charts/promotion.ini and charts/handover.ini, the state machines of a promotion and
/// of a planned handover. They are compiled into the binary because the VMs have no disk to read
/// them from.
extern const std::string_view promotion;
extern const std::string_view handover;

} // namespace cornellever::cluster::charts
