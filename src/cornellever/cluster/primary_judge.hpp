#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace cornellever::cluster {

/// One proxy's current observation of a primary.
struct primary_view {
    /// Time since the primary's last response.
    std::chrono::milliseconds last_answer_age{0};
    /// True if nothing has responded at the primary's address since then.
    bool unreachable{false};
    /// True if the primary's VM replied that no process listens on the port.
    bool refused{false};
    /// True if the server responds as the primary but lacks commits that it had before.
    bool log_lost{false};
};

/// The primary's entry in the server registry. `draining` is true if the server has announced that
/// it stops soon.
struct primary_entry {
    bool draining{false};
    /// How long the entry has been missing while the metadata store was reachable; nothing if the
    /// entry exists or the store is unreachable.
    std::optional<std::chrono::milliseconds> missing_for{};
};

/// The input of the failure detector: all that is known about a service's primary.
struct primary_evidence {
    primary_entry entry;
    /// This proxy's own observation; nothing if it sends the primary no statements.
    std::optional<primary_view> own{};
    /// The observations of the other live proxies that regard the same server as the primary.
    std::span<const primary_view> peers{};
    /// Number of other proxies known, whether alive or not.
    std::size_t known_peers{0};
};

enum class primary_verdict {
    fine,
    /// The primary is still reachable but is shutting down or no longer registered, so it is
    /// replaced by a planned handover.
    leaving,
    /// The primary has failed, lost its log, or cannot be reached by the proxies.
    lost,
};

/// Decides whether a primary has to be replaced. A primary that only some proxies cannot reach is
/// not lost, because replacing it would lose the commits that its replicas have not received. A
/// primary that has lost its log is lost even if other proxies reach it, because a proxy that knows
/// no earlier log position of this primary takes it for healthy.
[[nodiscard]] primary_verdict judge(const primary_evidence& evidence);

[[nodiscard]] constexpr std::string_view to_string(primary_verdict verdict) noexcept {
    switch (verdict) {
    case primary_verdict::fine:
        return "fine";
    case primary_verdict::leaving:
        return "leaving";
    case primary_verdict::lost:
        return "lost";
    }
    return "unknown";
}

} // namespace cornellever::cluster
