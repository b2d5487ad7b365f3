#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/session/connection_ownership.hpp"

namespace cornellever::session {

/// Which other proxies reach the primaries of services, as reported in their
/// heartbeats. When the network path from this proxy to a primary is cut, its
/// sessions are relayed through one of them: a primary that two of eight proxies
/// can't reach may still be reachable from the other six.
class primary_paths {
public:
    using time_point = boot_clock::time_point;

    /// Records that `peer` received an answer of the service's primary at
    /// `last_contact`.
    void record_contact(const std::string& service, const proxy_node& peer, time_point last_contact);

    /// Returns the peers whose last contact with the primary is recent and
    /// clearly later than this proxy's own (`local_contact`), rotated by
    /// `session` so that sessions spread over all of them. Empty when the
    /// primary itself has failed, since no peer reaches it then.

    [[nodiscard]] std::vector<proxy_node> peers_reaching(std::string_view service, std::uint64_t session,
                                                         time_point now, time_point local_contact) const;

private:
    struct path {
        proxy_node peer;
        time_point last_contact;
    };

    /// Two heartbeat periods of 0.5 s, so that one heartbeat may be lost.
    static constexpr std::chrono::milliseconds max_contact_age{1100};

    /// Proxies poll an idle primary five times a second, so that the last
    /// contacts of all proxies with a primary that failed are at most 200 ms
    /// apart. A larger difference means that only this proxy's path is cut.
    static constexpr std::chrono::milliseconds min_advantage{300};

    /// By service and the proxy's name.
    std::map<std::string, std::map<std::string, path>, std::less<>> m_paths;
};

} // namespace cornellever::session
