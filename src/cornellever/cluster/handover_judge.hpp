#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

#include "cornellever/routing/statement_tally.hpp"

namespace cornellever::cluster {

/// What one proxy reports on the load of a service's primary.
struct handover_view {
    /// Requests that wait for a connection.
    std::size_t waiting{0};
    /// The shortest replication lag of the other usable servers; nothing if none is usable.
    std::optional<std::chrono::milliseconds> shortest_lag{};
    /// Whether that lag shrinks fast enough to be gone soon.
    bool catching_up{false};
    /// How the statements ended that the proxy sent to the primary.
    routing::statement_health statements{routing::statement_health::unknown};
    /// Whether the proxy is a connection owner of the service.
    bool is_owner{true};
};

/// All that is known when the handover of a primary is judged.
struct handover_evidence {
    /// Whether the settings permit planned handovers.
    bool enabled{true};
    /// Whether any route of the service lets replicas serve reads.
    bool replicas_serve_reads{false};
    /// Number of statements that the primary executes concurrently.
    std::size_t slots{1};
    /// Time for which this proxy has known the primary; nothing if that is the whole time since it
    /// has observed the service.
    std::optional<std::chrono::milliseconds> primary_known_for{};
    /// Number of connection owners of the service.
    std::size_t owners{0};
    /// The views of this proxy and of its live peers that regard the same server as the primary.
    std::span<const handover_view> views{};
};

enum class handover_reason {
    /// The handover is due: requests wait, and no other server can serve reads soon.
    replicas_behind,
    /// The handover is due: the primary breaks every statement.
    primary_fails,
    switched_off,
    no_replica_reads,
    few_waiting,
    primary_new,
    no_usable_replica,
    replica_current,
    replica_catching_up,
};

/// Whether a primary is to be handed over and why, with the figures that decided it.
struct handover_judgement {
    handover_reason reason{handover_reason::few_waiting};
    /// Requests waiting at all proxies together.
    std::size_t waiting{0};
    /// The shortest lag according to any proxy.
    std::optional<std::chrono::milliseconds> shortest_lag{};
    /// Connection owners whose statements all break.
    std::size_t failing{0};

    [[nodiscard]] constexpr bool hand_over() const noexcept {
        return reason == handover_reason::replicas_behind || reason == handover_reason::primary_fails;
    }
};

/// How soon a replica has to catch up to count as about to catch up. A lag beyond three times the
/// longest promotion (1 s without writes) costs more than a handover does.
inline constexpr std::chrono::milliseconds handover_lag_limit{3000};

/// Decides whether leadership is handed over to a replica, so that the old primary, which has
/// applied everything, serves the reads. The reports of all proxies count together, because each of
/// them has only a part of the waiting requests. A primary that breaks every statement is handed over
/// too, however many requests wait.
[[nodiscard]] handover_judgement judge_handover(const handover_evidence& evidence);

[[nodiscard]] std::string_view to_string(handover_reason why) noexcept;

} // namespace cornellever::cluster
