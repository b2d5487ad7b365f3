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

/// Records which other proxies (peers) reach the primaries of services, as the peers report in their heartbeats. When
/// the network path from this proxy to a primary is cut, this proxy relays its sessions through a peer that still
/// reaches the primary. For example, a primary that two of eight proxies can't reach may be reachable from the other
/// six.
class primary_paths {
public:
    using time_point = boot_clock::time_point;

    /// Records that `peer` received a reply from the service's primary at `last_contact`.
    void record_contact(const std::string& service, const proxy_node& peer, time_point last_contact);

    /// Returns the peers whose last contact with the primary is recent and at least `min_advantage` later than the last
    /// contact of this proxy (`local_contact`). The list is rotated by `session`, so that sessions are spread over all
    /// these peers. The list is empty if the primary itself has failed, since no peer reaches it then.
    [[nodiscard]] std::vector<proxy_node> peers_reaching(std::string_view service, std::uint64_t session,
                                                         time_point now, time_point local_contact) const;

private:
    struct path {
        proxy_node peer;
        time_point last_contact;
    };

    /// Maximum age of a peer's last contact: two heartbeat periods of 0.5 s and a margin, so that one heartbeat may be
    /// lost.
    static constexpr std::chrono::milliseconds max_contact_age{1100};

    /// How much later than this proxy's last contact a peer's last contact must be. Proxies poll an idle primary five
    /// times a second, so the last contacts of all proxies with a failed primary are at most 200 ms apart. A larger
    /// difference means that only this proxy's path is cut.
    static constexpr std::chrono::milliseconds min_advantage{300};

    /// By service name, then by the peer's name.
    std::map<std::string, std::map<std::string, path>, std::less<>> m_paths;
};

} // namespace cornellever::session
