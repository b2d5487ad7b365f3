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

    /// A peer holds `theirs`, which was current at `at`, where this proxy holds
    /// `mine`. An older copy says nothing of this one.
    void note_peer_version(std::uint64_t theirs, std::uint64_t mine, time_point at, time_point now) {
        if (theirs > m_newest) {
            m_newest = theirs;
            m_newest_heard_at = now;
        }
        if (theirs == mine) {
            mark_current(at);
        }
    }

    /// The store shows `version`. It may be older than the copy at hand: the store
    /// has returned from an older copy of its own.
    void note_stored(std::uint64_t version) noexcept { m_stored = version; }

    /// Whether the store's word that nothing changed says that `mine` is the
    /// newest. It does not where the store lost it, and with it perhaps a newer one.
    [[nodiscard]] bool store_vouches_for(std::uint64_t mine) const noexcept {
        return m_newest <= mine && m_stored >= mine;
    }

    [[nodiscard]] time_point confirmed_current_at() const noexcept { return m_current_at; }

    /// Whether a peer has had a newer version for so long that it should be here
    /// by now.
    [[nodiscard]] bool behind(std::uint64_t mine, time_point now) const noexcept {
        return m_newest > mine && now - m_newest_heard_at >= passed_on_within;
    }

private:
    /// A peer of the same data centre is asked at once, one of another after
    /// 1.2 s; the answer takes milliseconds, on a busy VM a good part of a second.
    static constexpr std::chrono::milliseconds passed_on_within{1800};

    time_point m_current_at{};
    std::uint64_t m_newest{0};
    std::uint64_t m_stored{0};
    time_point m_newest_heard_at{};
};

} // namespace cornellever::cluster
