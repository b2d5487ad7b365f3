#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/sql/position.hpp"

namespace cornellever::routing {

/// How far the log of the last server was that proved its lead, to this proxy
/// or to another that told of it, so that a primary shows which started again
/// with an empty log: it may still be taken for the leader, and would show
/// callers a database without their commits. While a server leads, its log gets
/// no shorter. Positions of different servers are not compared: one that was
/// promoted may lack commits, which are rolled back then and which nobody is
/// owed.
class log_high_water_mark {
public:
    using time_point = boot_clock::time_point;

    /// A server that leads named `position`, as is known at `now`.
    void note(const std::string& server, const sql::log_position& position, time_point now) {
        if (m_server != server || !m_highest_position || *m_highest_position < position) {
            m_server = server;
            m_highest_position = position;
            m_recorded_at = now;
        }
    }

    /// Another proxy knows that `server` had come to `position` while it led. It
    /// may not have noticed yet that another server leads now.
    void note_reported_position(const std::string& server, const sql::log_position& position, time_point now) {
        if (m_server.empty() || m_server == server) {
            note(server, position, now);
        }
    }

    /// `server` leads, wherever its log is: what another had named counts no more.
    void set_primary(const std::string& server) {
        if (m_server != server) {
            m_server = server;
            m_highest_position.reset();
        }
    }

    /// Whether `position`, named by a server that was asked at `asked_at`, lacks
    /// what it held itself before that. An answer that another one has
    /// overtaken names an older position and tells nothing.
    [[nodiscard]] bool is_truncated(std::string_view server, const sql::log_position& position,
                                    time_point asked_at) const {
        return m_highest_position && m_server == server && asked_at > m_recorded_at && position < *m_highest_position;
    }

    /// The furthest position that `server` is known to have named while it led.
    [[nodiscard]] std::optional<sql::log_position> highest_position_of(std::string_view server) const {
        return m_server == server ? m_highest_position : std::nullopt;
    }

private:
    std::string m_server;
    std::optional<sql::log_position> m_highest_position;
    time_point m_recorded_at{};
};

} // namespace cornellever::routing
