#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// Stores the highest log position of the last primary that was confirmed by this proxy or reported by a peer (another
/// proxy). The position shows when a primary has restarted with an empty log. Such a server may still confirm its
/// leadership, and callers (client applications) would see a database without their commits. Apart from that case, a
/// primary's log never gets shorter. Positions of different servers are not compared, because a promoted server may
/// lack commits of the previous primary. Those commits are rolled back and no longer guaranteed to any caller.
class log_high_water_mark {
public:
    using time_point = boot_clock::time_point;

    /// Records that the primary `server` reported `position` in a reply received at `now`.
    void note(const std::string& server, const sql::log_position& position, time_point now) {
        if (m_server != server || !m_highest_position || *m_highest_position < position) {
            m_server = server;
            m_highest_position = position;
            m_recorded_at = now;
        }
    }

    /// Records a position that a peer reports for `server` as the primary. A position of a server other than the
    /// recorded one is ignored, because the peer may not have noticed a failover yet.
    void note_reported_position(const std::string& server, const sql::log_position& position, time_point now) {
        if (m_server.empty() || m_server == server) {
            note(server, position, now);
        }
    }

    /// Records that `server` is the primary now. Drops the recorded position if it belongs to another server.
    void set_primary(const std::string& server) {
        if (m_server != server) {
            m_server = server;
            m_highest_position.reset();
        }
    }

    /// Whether `position`, which `server` reported in reply to a request sent at `asked_at`, is below the highest
    /// position that `server` reported before. Always false if that highest position was recorded after `asked_at`,
    /// because the reply may then be older than the record.
    [[nodiscard]] bool is_truncated(std::string_view server, const sql::log_position& position,
                                    time_point asked_at) const {
        return m_highest_position && m_server == server && asked_at > m_recorded_at && position < *m_highest_position;
    }

    /// Returns the highest position that `server` is known to have reported as the primary.
    [[nodiscard]] std::optional<sql::log_position> highest_position_of(std::string_view server) const {
        return m_server == server ? m_highest_position : std::nullopt;
    }

private:
    std::string m_server;
    std::optional<sql::log_position> m_highest_position;
    time_point m_recorded_at{};
};

} // namespace cornellever::routing
