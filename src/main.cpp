#include <array>
#include <cstdio>
#include <span>
#include <string_view>
#include <utility>

#include "cornellever/core/role.hpp"

namespace {

constexpr std::array<std::pair<std::string_view, cornellever::role_main>, 6> roles{{
    {"proxy", cornellever::proxy_main},
    {"serve", cornellever::serve_main},
    {"ctl", cornellever::ctl_main},
    {"platform", cornellever::platform_main},
    {"backend", cornellever::backend_main},
    {"bench", cornellever::bench_main},
}};

int usage() {
    std::fputs("usage: cornellever ROLE [options]\n"
               "roles: proxy, serve, ctl, platform, backend, bench; 'cornellever ROLE --help' for each\n",
               stderr);
    return 2;
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        return usage();
    }
    const std::string_view name{argv[1]};
    for (const auto& [role, entry] : roles) {
        if (role == name) {
            return entry(std::span<char*>{argv + 1, static_cast<std::size_t>(argc - 1)});
        }
    }
    return usage();
}
