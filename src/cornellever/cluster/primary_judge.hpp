#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace cornellever::cluster {

/// One proxy's current observation of a primary.
struct primary_view {
    /// Time since it last answered.
    std::chrono::milliseconds last_answer_age{0};
    /// Nothing has answered at its address since then.
    bool unreachable{false};
    /// Its VM answered that no process listens.
    bool refused{false};
    /// It answers as the primary but lacks commits that it had.
    bool log_lost{false};
};

/// The primary's entry in the server registry.
struct primary_entry {
    bool draining{false};
    /// How long its entry has been missing while the store answered; nothing if the entry exists or
    /// the store cannot tell.
    std::optional<std::chrono::milliseconds> missing_for{};
};

/// The input of the failure detector: all that is known of a service's primary.
struct primary_evidence {
    primary_entry entry;
    /// Nothing if this proxy sends it no statements.
    std::optional<primary_view> own{};
    /// Observations of the other proxies that are alive and regard it as the primary.
    std::span<const primary_view> peers{};
    /// Number of other proxies known, alive or not.
    std::size_t known_peers{0};
};

enum class primary_verdict {
    fine,
    /// It is still reachable; its replacement is planned.
    leaving,
    /// It is gone, or no proxy reaches it.
    lost,
};

/// Decides whether a primary has to be replaced. A primary that only some proxies cannot reach is
/// not lost: replacing it would lose the commits that its replicas have not received. One that lost
/// its log is lost even if others reach it: proxies that know no earlier log position of it
/// consider it healthy.
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
