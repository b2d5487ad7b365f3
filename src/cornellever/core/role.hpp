#pragma once

#include <span>

namespace cornellever {

/// Entry point of one role: `args` are the role's own arguments, the role's
/// name first. Returns the process exit status.
using role_main = int (*)(std::span<char*> args);

int platform_main(std::span<char*> args);
int backend_main(std::span<char*> args);
int proxy_main(std::span<char*> args);
int ctl_main(std::span<char*> args);
int bench_main(std::span<char*> args);
int serve_main(std::span<char*> args);

} // namespace cornellever
