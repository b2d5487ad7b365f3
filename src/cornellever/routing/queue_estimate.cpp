#include "cornellever/routing/queue_estimate.hpp"

#include <algorithm>

namespace cornellever::routing {

lane_view together(std::span<const lane_view> servers, server_set of) {
    std::size_t statements = 0;
    double per_ms = 0.0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto& item = servers[i];
        if ((of >> i & 1U) == 0 || item.statements == 0 || item.statement_time.count() <= 0.0) {
            continue;
        }
        statements += item.statements;
        per_ms += static_cast<double>(item.statements) / item.statement_time.count();
    }
    if (statements == 0) {
        return {};
    }
    return {statements, std::chrono::duration<double, std::milli>{static_cast<double>(statements) / per_ms}};
}

std::size_t competing(std::span<const waiting_view> before, server_set of) {
    return static_cast<std::size_t>(
        std::ranges::count_if(before, [of](const auto& item) { return (item.servers & of) != 0; }));
}

std::vector<std::size_t> out_of_time(std::span<const lane_view> servers, std::span<const waiting_view> line,
                                     std::size_t first, boot_clock::time_point now) {
    std::vector<std::size_t> out;
    std::vector<waiting_view> staying(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(first));
    for (std::size_t i = first; i < line.size(); ++i) {
        const auto& item = line[i];
        const auto lanes = together(servers, item.servers);
        const auto ahead = competing(staying, item.servers);
        const auto wait = lanes.statements == 0 ? std::chrono::duration<double, std::milli>{0}
                                                : lanes.statement_time * static_cast<double>(ahead) /
                                                      static_cast<double>(lanes.statements);
        if (now + std::chrono::duration_cast<std::chrono::nanoseconds>(wait) > item.until) {
            out.push_back(i);
        } else {
            staying.push_back(item);
        }
    }
    return out;
}

} // namespace cornellever::routing
