#include "cornellever/routing/queue_estimate.hpp"

#include <algorithm>
#include <map>

namespace cornellever::routing {

server_capacity combined_capacity(std::span<const server_capacity> servers, server_set of) {
    std::size_t concurrency = 0;
    double per_ms = 0.0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto& item = servers[i];
        if ((of >> i & 1U) == 0 || item.concurrency == 0 || item.statement_time.count() <= 0.0) {
            continue;
        }
        concurrency += item.concurrency;
        per_ms += static_cast<double>(item.concurrency) / item.statement_time.count();
    }
    if (concurrency == 0) {
        return {};
    }
    return {concurrency, std::chrono::duration<double, std::milli>{static_cast<double>(concurrency) / per_ms}};
}

std::size_t count_competing(std::span<const queued_request> before, server_set of) {
    return static_cast<std::size_t>(
        std::ranges::count_if(before, [of](const auto& item) { return (item.servers & of) != 0; }));
}

std::vector<std::size_t> too_late(std::span<const server_capacity> servers, std::span<const queued_request> queue,
                                  std::size_t first, boot_clock::time_point now) {
    std::vector<std::size_t> out;
    std::vector<queued_request> staying(queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(first));
    for (std::size_t i = first; i < queue.size(); ++i) {
        const auto& item = queue[i];
        const auto capacity = combined_capacity(servers, item.servers);
        const auto ahead = count_competing(staying, item.servers);
        const auto wait = capacity.concurrency == 0 ? std::chrono::duration<double, std::milli>{0}
                                                    : capacity.statement_time * static_cast<double>(ahead) /
                                                          static_cast<double>(capacity.concurrency);
        if (now + std::chrono::duration_cast<std::chrono::nanoseconds>(wait) > item.until) {
            out.push_back(i);
        } else {
            staying.push_back(item);
        }
    }
    return out;
}

std::chrono::milliseconds longest_wait(std::span<const server_capacity> servers, std::span<const queued_request> queue,
                                       boot_clock::time_point now) {
    std::map<server_set, boot_clock::time_point> last_by_servers;
    for (const auto& item : queue) {
        auto& last = last_by_servers[item.servers];
        last = std::max(last, item.until);
    }
    std::chrono::milliseconds out{0};
    for (const auto& [of, last] : last_by_servers) {
        const auto capacity = combined_capacity(servers, of);
        const auto wait = capacity.concurrency == 0
                              ? std::chrono::duration<double, std::milli>{last - now}
                              : capacity.statement_time * static_cast<double>(count_competing(queue, of)) /
                                    static_cast<double>(capacity.concurrency);
        out = std::max(out, std::chrono::ceil<std::chrono::milliseconds>(wait));
    }
    return out;
}

} // namespace cornellever::routing
