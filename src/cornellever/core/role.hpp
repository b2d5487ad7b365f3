#pragma once

#include <span>

namespace cornellever {

/// Entry point of a process role (proxy, backend server, command-line tool and so
/// on), which the first command-line argument selects. `args` starts with the
/// role's name, followed by the role's own arguments. Returns the exit status.
using role_main = int (*)(std::span<char*> args);

int platform_main(std::span<char*> args);
int backend_main(std::span<char*> args);
int proxy_main(std::span<char*> args);
int ctl_main(std::span<char*> args);
int bench_main(std::span<char*> args);
int serve_main(std::span<char*> args);

} // namespace cornellever
