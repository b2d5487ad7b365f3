#pragma once

#include <cstdint>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// Serves statements declared as reads. A replica answers if it has applied the session's last write (in that write's
/// term) and its staleness is within the service's bound. The replica itself checks both, since what this proxy knows
/// of it is up to one heartbeat old. If no replica can answer, the read waits briefly for one to catch up and then
/// goes to the primary.
class read_path {
public:
    using clock = std::chrono::steady_clock;

    read_path(backend_connections& backends, std::string zone) : m_backends{backends}, m_zone{std::move(zone)} {}

    /// Serves one read by `until`.
    answer serve(const config::service& service, const execute_request& request, clock::time_point until);

    /// Read counters for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    /// Returns null if no replica can serve the read now.
    answer try_replicas(const config::service& service, const execute_request& request, clock::time_point until);
    answer serve_from_primary(const execute_request& request, clock::time_point until);

    backend_connections& m_backends;
    std::string m_zone;
    std::uint64_t m_reads{0};
    std::uint64_t m_replica_reads{0};
    std::uint64_t m_fallbacks{0};
};

} // namespace cornellever::proxy
