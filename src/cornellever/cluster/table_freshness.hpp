#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::cluster {

/// The tables of the metadata store of which every proxy holds a copy.
enum class cached_table { configuration, servers };

/// What is known of a table beside the copy at hand: when that copy was last
/// known to be current, by the store's word or a peer's, and the newest version
/// that a peer was heard to hold. Few proxies ask the store; with the age of
/// its word in every heartbeat the others know how far they may rely on them.
class table_freshness {
public:
    using time_point = boot_clock::time_point;

    void mark_current(time_point at) { m_current_at = std::max(m_current_at, at); }

    /// A peer holds `peer_version`, which was current at `at`, where this proxy holds
    /// `own_version`. An older copy says nothing of this one.
    void note_peer_version(std::uint64_t peer_version, std::uint64_t own_version, time_point at, time_point now) {
        if (peer_version > m_newest_at_peers) {
            m_newest_at_peers = peer_version;
            m_newest_seen_at = now;
        }
        if (peer_version == own_version) {
            mark_current(at);
        }
    }

    /// The store shows `version`. It may be older than the copy at hand: the store
    /// has returned from an older copy of its own.
    void note_store_version(std::uint64_t version) noexcept { m_store_version = version; }

    /// Whether the store's word that nothing changed says that `own_version` is the
    /// newest. It does not where the store lost it, and with it perhaps a newer one.
    [[nodiscard]] bool store_confirms(std::uint64_t own_version) const noexcept {
        return m_newest_at_peers <= own_version && m_store_version >= own_version;
    }

    [[nodiscard]] time_point confirmed_current_at() const noexcept { return m_current_at; }

    /// Whether a peer has had a newer version for so long that it should be here
    /// by now.
    [[nodiscard]] bool behind(std::uint64_t own_version, time_point now) const noexcept {
        return m_newest_at_peers > own_version && now - m_newest_seen_at >= propagation_time;
    }

private:
    /// A peer of the same data centre is asked at once, one of another after
    /// 1.2 s; the answer takes milliseconds, on a busy VM a good part of a second.
    static constexpr std::chrono::milliseconds propagation_time{1800};

    time_point m_current_at{};
    std::uint64_t m_newest_at_peers{0};
    std::uint64_t m_store_version{0};
    time_point m_newest_seen_at{};
};

} // namespace cornellever::cluster
