#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "cornellever/cluster/handover_judge.hpp"
#include "cornellever/cluster/peer_message.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/routing/connection_request.hpp"

namespace cornellever::cluster {

/// What a proxy remembers of a service between two judgements of `judge_handover`: since when it
/// has known the primary, how fast the nearest replica catches up, and since when the judgement has
/// been in favour of a handover.
class handover_watch {
public:
    using time_point = boot_clock::time_point;

    /// Records this proxy's observation of the service.
    void observe(const routing::primary_observation& observed, time_point now);

    /// Returns how long this proxy has known the primary; nothing if that is the whole time since it
    /// has observed the service.
    [[nodiscard]] std::optional<std::chrono::milliseconds> primary_known_for(time_point now) const;

    /// Whether the nearest replica will have applied the whole log within `handover_lag_limit`, at
    /// the rate of the last second. The rate is measured in log entries, because the lag in time is
    /// known only as far back as positions of the primary are kept.
    [[nodiscard]] bool catching_up() const;

    /// This proxy's own view.
    [[nodiscard]] handover_view view_of(const routing::primary_observation& observed) const;

    /// Adds this proxy's view to a report for its peers.
    void add_load(const routing::primary_observation& observed, primary_report& report) const;

    /// Records a judgement. Returns whether it changed between for and against a handover.
    bool record(const handover_judgement& judged, time_point now);

    /// Whether the judgement has been in favour of a handover for a second and for `delay` beyond.
    [[nodiscard]] bool is_due(time_point now, std::chrono::milliseconds delay) const;

    /// Records that an attempt has ended. The next one has to wait.
    void note_attempt(time_point now);

private:
    struct distance {
        time_point at;
        std::uint64_t entries{0};
    };

    std::string m_primary;
    /// When another server than before became the primary; nothing while the first one leads.
    std::optional<time_point> m_replaced_at;
    std::deque<distance> m_distances;
    std::optional<time_point> m_in_favour_since;
    time_point m_not_before{};
};

} // namespace cornellever::cluster
