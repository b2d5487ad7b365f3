#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "cornellever/core/boot_clock.hpp"

namespace cornellever::cluster {

/// The metadata store tables of which every proxy holds a copy.
enum class cached_table { configuration, servers };

/// How fresh this proxy's copy of a table is: when the store or a peer last confirmed it as
/// current, and the newest version that a peer is known to hold. Only a few proxies query the
/// store. Each heartbeat carries the age of the sender's last confirmation, so that proxies that do
/// not query the store learn whether their own copies are current.
class table_freshness {
public:
    using time_point = boot_clock::time_point;

    void mark_current(time_point at) { m_current_at = std::max(m_current_at, at); }

    /// Records that a peer holds `peer_version`, confirmed as current at time `at`, while this
    /// proxy holds `own_version`. An older version at the peer neither confirms nor refutes that
    /// this proxy's copy is current.
    void note_peer_version(std::uint64_t peer_version, std::uint64_t own_version, time_point at, time_point now) {
        if (peer_version > m_newest_at_peers) {
            m_newest_at_peers = peer_version;
            m_newest_seen_at = now;
        }
        m_peer_answer_at = std::max(m_peer_answer_at, now);
        if (peer_version == own_version) {
            mark_current(at);
        }
    }

    /// Records the version in the store. It may be older than this proxy's copy if the store was
    /// restored from a backup.
    void note_store_version(std::uint64_t version) noexcept { m_store_version = version; }

    /// Returns whether a response of the store that nothing has changed confirms `own_version` as
    /// the newest. It does not if the store was restored from a backup without that version,
    /// because the store may have lost an even newer version too.
    [[nodiscard]] bool store_confirms(std::uint64_t own_version) const noexcept {
        return m_newest_at_peers <= own_version && m_store_version >= own_version;
    }

    [[nodiscard]] time_point confirmed_current_at() const noexcept { return m_current_at; }

    /// Returns whether a peer has had a newer version for so long that this proxy should have
    /// received it.
    [[nodiscard]] bool behind(std::uint64_t own_version, time_point now) const noexcept {
        return behind_for(own_version, now) >= std::chrono::milliseconds{0};
    }

    /// Returns for how long this proxy should have received the newest version of its peers; negative
    /// if it still has time or is not behind.
    [[nodiscard]] std::chrono::milliseconds behind_for(std::uint64_t own_version, time_point now) const noexcept {
        if (m_newest_at_peers <= own_version) {
            return std::chrono::milliseconds{-1};
        }
        return std::chrono::floor<std::chrono::milliseconds>(now - m_newest_seen_at) - propagation_time;
    }

    /// Returns whether a peer stated the freshness of its copy recently. A proxy that hears from its
    /// peers and still gets no confirmation is not cut off from them: they have none either.
    [[nodiscard]] bool hears_from_peers(time_point now) const noexcept {
        return m_peer_answer_at != time_point{} && now - m_peer_answer_at < recent_answer;
    }

private:
    /// A new version is requested from a peer of the same data centre immediately and from a peer
    /// of another data centre after 1.2 s. The response takes milliseconds, or most of a second on
    /// a busy VM.
    static constexpr std::chrono::milliseconds propagation_time{1800};

    /// Two heartbeat periods, so that one answer may be lost.
    static constexpr std::chrono::milliseconds recent_answer{1000};

    time_point m_current_at{};
    std::uint64_t m_newest_at_peers{0};
    std::uint64_t m_store_version{0};
    time_point m_newest_seen_at{};
    time_point m_peer_answer_at{};
};

} // namespace cornellever::cluster
