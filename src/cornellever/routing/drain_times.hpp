#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/model.hpp"

namespace cornellever::routing {

/// Since when servers have been draining, that is, finishing their work before they stop.
class drain_times {
public:
    using time_point = boot_clock::time_point;

    /// Records a new registry, which this proxy received at `now`; the one before was last confirmed as current at
    /// `before_current_at`. A server may have announced that it drains right after that. A server that drains when this
    /// proxy first sees it may have announced that long ago. It counts as having drained for `unknown_age`, so that it
    /// gets no new requests.
    void update(const registry& before, const registry& next, time_point before_current_at, time_point now);

    /// Returns since when a server has been draining, or nothing if it is not.
    [[nodiscard]] std::optional<time_point> since(std::string_view id) const;

private:
    /// Longer than any server takes to stop.
    static constexpr std::chrono::hours unknown_age{1};
    /// How late a proxy usually receives a registry. The time for which a draining primary is used allows for it.
    static constexpr std::chrono::milliseconds usual_delay{1000};

    std::map<std::string, time_point, std::less<>> m_since;
};

} // namespace cornellever::routing
