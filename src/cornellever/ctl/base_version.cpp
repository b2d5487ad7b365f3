#include "cornellever/ctl/base_version.hpp"

#include <fstream>

namespace cornellever::ctl {

namespace {

constexpr auto base_file = ".applied";

} // namespace

std::optional<std::uint64_t> read_base_version(const std::filesystem::path& folder) {
    std::ifstream in{folder / base_file};
    std::uint64_t version = 0;
    if (!(in >> version)) {
        return std::nullopt;
    }
    return version;
}

result<void> write_base_version(const std::filesystem::path& folder, std::uint64_t version) {
    std::ofstream out{folder / base_file, std::ios::trunc};
    out << version << "\n";
    out.flush();
    if (!out) {
        return fail(errc::internal, "cannot write " + (folder / base_file).string());
    }
    return {};
}

} // namespace cornellever::ctl
