#include "cornellever/ctl/log_commands.hpp"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <vector>

#include "cornellever/ctl/exit_status.hpp"
#include "cornellever/ctl/explain.hpp"
#include "cornellever/ctl/losses.hpp"

namespace cornellever::ctl {

namespace {

/// Returns the content of a file. When the file cannot be read, prints a message
/// to standard error and returns `nullopt`.
std::optional<std::string> read_log(const std::string& name) {
    std::ifstream file{name};
    if (!file) {
        std::fprintf(stderr, "%s: cannot be read\n", name.c_str());
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

} // namespace

int run_losses(std::span<const std::string> files) {
    loss_table table;
    for (const auto& name : files) {
        const auto text = read_log(name);
        if (!text) {
            return usage;
        }
        table.add_log(*text);
    }
    std::printf("%8s %8s %8s  %-11s %-20s %-12s %s\n", "requests", "mean ms", "max ms", "place", "service", "account",
                "reason");
    for (const auto& [group, count] : table.rows()) {
        std::printf("%8llu %8lld %8lld  %-11s %-20s %-12s %s\n", static_cast<unsigned long long>(count.requests),
                    count.waited_ms / static_cast<long long>(count.requests), count.longest_ms,
                    std::string{to_string(group.place)}.c_str(), group.service.c_str(),
                    group.account.empty() ? "-" : group.account.c_str(), group.reason.c_str());
    }
    for (const auto& [second, count] : table.per_second()) {
        std::printf("%s %llu\n", second.c_str(), static_cast<unsigned long long>(count.requests));
    }
    return ok;
}

int run_explain(const std::string& request, std::span<const std::string> files) {
    std::vector<request_line> lines;
    for (const auto& name : files) {
        const auto text = read_log(name);
        if (!text) {
            return usage;
        }
        collect_request_lines(request, name, *text, lines);
    }
    if (lines.empty()) {
        std::printf("no log line mentions request %s\n", request.c_str());
        return refused;
    }
    sort_request_lines(lines);
    for (const auto& item : lines) {
        std::printf("%s %s:%zu: %s\n", item.decisive ? "=>" : "  ", item.file.c_str(), item.number, item.text.c_str());
    }
    return ok;
}

} // namespace cornellever::ctl
