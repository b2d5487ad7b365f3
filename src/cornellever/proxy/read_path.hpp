#pragma once

#include <cstdint>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// Serves statements that the caller (the client application) declared as reads. A replica serves the read if it has
/// applied the session's last write, in the term of that write, and its staleness is within the limit of the service.
/// The replica itself checks both conditions, since this proxy's information about the replica is up to one heartbeat
/// interval old. If no replica can serve the read, the proxy waits briefly for a replica to catch up and then sends the
/// read to the primary.
class read_path {
public:
    using clock = std::chrono::steady_clock;

    read_path(backend_connections& backends, std::string zone) : m_backends{backends}, m_zone{std::move(zone)} {}

    /// Serves one read; `until` is its deadline.
    answer serve(const config::service& service, const execute_request& request, clock::time_point until);

    /// Returns the read counters for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    /// Tries the preferred replicas in turn. Returns null if none of them can serve the read now.
    answer try_replicas(const config::service& service, const execute_request& request, clock::time_point until);
    answer serve_from_primary(const execute_request& request, clock::time_point until);

    backend_connections& m_backends;
    std::string m_zone;
    std::uint64_t m_reads{0};
    std::uint64_t m_replica_reads{0};
    std::uint64_t m_fallbacks{0};
};

} // namespace cornellever::proxy
