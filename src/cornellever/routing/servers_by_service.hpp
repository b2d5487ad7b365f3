#pragma once

#include <map>
#include <string>
#include <vector>

#include "cornellever/routing/model.hpp"

namespace cornellever::routing {

/// The servers of a registry grouped by service, each group ordered by id.
using servers_by_service = std::map<std::string, std::vector<const backend_server*>, std::less<>>;

/// Returns the servers grouped by service. The result points into `servers`, which must outlive the result unchanged.
[[nodiscard]] inline servers_by_service group_by_service(const registry& servers) {
    servers_by_service out;
    for (const auto& [id, server] : servers.servers) {
        out[server.service].push_back(&server);
    }
    return out;
}

} // namespace cornellever::routing
