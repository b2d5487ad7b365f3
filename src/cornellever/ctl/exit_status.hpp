#pragma once

namespace cornellever::ctl {

/// Exit statuses of the operators' command line.
enum exit_status : int { ok = 0, refused = 1, usage = 2, unreachable = 3 };

} // namespace cornellever::ctl
