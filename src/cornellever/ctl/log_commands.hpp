#pragma once

#include <span>
#include <string>

namespace cornellever::ctl {

/// Prints the number of lost requests in the logs by stage, reason, service and account, and by second. Returns the
/// exit status.
int run_losses(std::span<const std::string> files);

/// Prints the log lines of a request and marks the decisive line. Returns the exit status.
int run_explain(const std::string& request, std::span<const std::string> files);

} // namespace cornellever::ctl
