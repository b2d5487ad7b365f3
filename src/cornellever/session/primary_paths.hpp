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

/// Which other proxies reach the primaries of services, by their own word. A
/// proxy whose path to a primary is cut sends its callers' sessions through one
/// of them: what two of eight proxies could not run, the other six could.
class primary_paths {
public:
    using time_point = boot_clock::time_point;

    /// `peer` heard the primary of a service at `last_contact`.
    void record_contact(const std::string& service, const proxy_node& peer, time_point last_contact);

    /// Those that heard it lately, and clearly later than this proxy itself did
    /// (`local_contact`), in the order in which a session tries them: sessions are
    /// spread over all of them. Nobody hears a primary that is lost, so that
    /// none is told of then.
    [[nodiscard]] std::vector<proxy_node> peers_reaching(std::string_view service, std::uint64_t session,
                                                         time_point now, time_point local_contact) const;

private:
    struct path {
        proxy_node peer;
        time_point last_contact;
    };

    /// Heartbeats come every 0.5 s; one may be lost.
    static constexpr std::chrono::milliseconds max_contact_age{1100};

    /// Proxies ask an otherwise idle primary five times a second: one that was
    /// lost was heard by others no more than that later than here.
    static constexpr std::chrono::milliseconds min_advantage{300};

    /// By service and the proxy's name.
    std::map<std::string, std::map<std::string, path>, std::less<>> m_paths;
};

} // namespace cornellever::session
