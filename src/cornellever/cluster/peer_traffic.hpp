#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornellever/cluster/peer_message.hpp"

namespace cornellever::cluster {

[[nodiscard]] constexpr std::string_view to_string(peer_message::kind what) noexcept {
    switch (what) {
    case peer_message::kind::question:
        return "question";
    case peer_message::kind::answer:
        return "answer";
    case peer_message::kind::greeting:
        return "greeting";
    case peer_message::kind::farewell:
        return "farewell";
    }
    return "-";
}

/// Counts received peer messages by kind and by whether they came from the same data centre,
/// because traffic between data centres costs money. Messages are counted by the receiver, because
/// they carry the sender's data centre while a sender does not look up that of each target. The
/// counters can be read from any thread.
class peer_traffic {
public:
    static constexpr std::array kinds{peer_message::kind::question, peer_message::kind::answer,
                                      peer_message::kind::greeting, peer_message::kind::farewell};

    void add(peer_message::kind what, bool same_data_center, std::size_t bytes) {
        auto& at = of(what, same_data_center);
        ++at.messages;
        at.bytes += bytes;
    }

    [[nodiscard]] std::uint64_t messages(peer_message::kind what, bool same_data_center) const {
        return of(what, same_data_center).messages;
    }
    [[nodiscard]] std::uint64_t bytes(peer_message::kind what, bool same_data_center) const {
        return of(what, same_data_center).bytes;
    }

private:
    struct counter {
        std::atomic<std::uint64_t> messages{0};
        std::atomic<std::uint64_t> bytes{0};
    };

    [[nodiscard]] static std::size_t index_of(peer_message::kind what, bool same_data_center) {
        return 2 * static_cast<std::size_t>(what) + (same_data_center ? 1 : 0);
    }
    [[nodiscard]] counter& of(peer_message::kind what, bool same_data_center) {
        return m_counters.at(index_of(what, same_data_center));
    }
    [[nodiscard]] const counter& of(peer_message::kind what, bool same_data_center) const {
        return m_counters.at(index_of(what, same_data_center));
    }

    std::array<counter, 2 * kinds.size()> m_counters;
};

} // namespace cornellever::cluster
