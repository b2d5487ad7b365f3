#pragma once

#include <cstdint>
#include <string>

#include "cornellever/config/model.hpp"
#include "cornellever/proxy/answer.hpp"
#include "cornellever/proxy/backend_connections.hpp"

namespace cornellever::proxy {

/// Serves declared reads. A replica answers when it has applied the
/// session's last write (in that write's term) and is no staler than the
/// service allows; the replica itself checks both, as what this proxy last
/// heard of it is old by up to a heartbeat. When none has, the read waits a
/// little for one to catch up, then goes to the primary.
class read_path {
public:
    using clock = std::chrono::steady_clock;

    read_path(backend_links& links, std::string zone) : m_links{links}, m_zone{std::move(zone)} {}

    /// Serves one read by `until`.
    answer serve(const config::service& service, const execute_request& request, clock::time_point until);

    /// Counts for the state dump.
    [[nodiscard]] Json::Value describe() const;

private:
    /// Null when no replica could serve it now.
    answer try_replicas(const config::service& service, const execute_request& request, clock::time_point until);
    answer on_primary(const execute_request& request, clock::time_point until);

    backend_links& m_links;
    std::string m_zone;
    std::uint64_t m_reads{0};
    std::uint64_t m_replica_reads{0};
    std::uint64_t m_fallbacks{0};
};

} // namespace cornellever::proxy
