#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace cornellever::cluster {

/// What one proxy sees of a primary at present.
struct primary_view {
    /// Since it last answered.
    std::chrono::milliseconds last_answer_age{0};
    /// Nobody answered at its address since then.
    bool unreachable{false};
    /// Its VM said that no process listens.
    bool refused{false};
    /// It answers and leads, without the commits that it had.
    bool log_lost{false};
};

/// What the registry says of it.
struct primary_entry {
    bool draining{false};
    /// How long its entry has been gone, while the store answered; nothing
    /// while it is there or the store can't say.
    std::optional<std::chrono::milliseconds> missing_for{};
};

/// All that is known of a service's primary.
struct primary_evidence {
    primary_entry entry;
    /// Nothing when this proxy sends it no statements.
    std::optional<primary_view> own{};
    /// Views of other proxies that are alive and take it for the primary.
    std::span<const primary_view> peers{};
    /// Other proxies known, alive or not.
    std::size_t known_peers{0};
};

enum class primary_verdict {
    fine,
    /// It stays reachable and is to be replaced by plan.
    leaving,
    /// It is gone, or nobody reaches it.
    lost,
};

/// Judges whether a primary has to be replaced. A primary that only some
/// proxies can't reach is not lost: replacing it would lose the commits that
/// its replicas have not received. One that lost its log is lost whoever reaches
/// it: those that know no earlier position take it for a healthy one.
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
