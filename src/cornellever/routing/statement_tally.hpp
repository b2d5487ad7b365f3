#pragma once

#include <cstddef>
#include <deque>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::routing {

/// How the statements ended that were sent to a server during the last second.
enum class statement_health {
    /// None broke, or too few were sent to tell.
    unknown,
    all_break,
    some_break,
};

/// Counts the statements that a server was sent during the last second, and how they ended. A
/// statement breaks if its connection is reset or no reply arrives in time; any reply, also an error,
/// counts as a success.
class statement_tally {
public:
    using time_point = boot_clock::time_point;

    void note_sent(time_point now);
    /// Records that the statement sent last never left the proxy.
    void withdraw_sent();
    void note_ended(bool succeeded, time_point now);

    [[nodiscard]] statement_health health(time_point now) const;

private:
    struct ending {
        time_point at;
        bool succeeded{false};
    };

    void forget_old(time_point now);

    std::deque<time_point> m_sent;
    std::deque<ending> m_ended;
};

} // namespace cornellever::routing
