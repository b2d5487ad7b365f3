#pragma once

#include <atomic>
#include <cstdint>

namespace cornellever::cluster {

/// Counters of the control plane. They can be read from any thread.
struct control_counts {
    std::atomic<std::uint64_t> promoted{0};
    std::atomic<std::uint64_t> given_up{0};
    std::atomic<std::uint64_t> handed_over{0};
    std::atomic<std::uint64_t> handovers_given_up{0};
    std::atomic<std::uint64_t> proxies{0};
};

} // namespace cornellever::cluster
