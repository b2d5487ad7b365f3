#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::standin {

/// What the platform says of a VM.
enum class vm_state { live, leaving, gone };

/// One VM as the list shows it; `kind` is what runs there ("proxy",
/// "backend"), as whoever registered it said.
struct vm {
    vm_state state{vm_state::live};
    std::string kind;
};

/// The platform's list of live and leaving VMs, which lags: a change is
/// seen by readers only `lag` after it was made.
class vm_list {
public:
    using clock = std::chrono::steady_clock;

    explicit vm_list(std::chrono::milliseconds lag) : m_lag{lag} {}

    /// Records that the VM at `address` is now as `value` says.
    void set(std::string address, vm value, clock::time_point now);

    /// The list as readers see it at `now`: changes older than the lag.
    [[nodiscard]] std::map<std::string, vm> visible_at(clock::time_point now) const;

private:
    struct change {
        clock::time_point at;
        std::string address;
        vm value;
    };

    std::chrono::milliseconds m_lag;
    std::vector<change> m_changes;
};

/// "live", "leaving" or "gone".
[[nodiscard]] std::string_view to_string(vm_state state) noexcept;

/// Parses a state name; false when it is none of them.
[[nodiscard]] bool parse_vm_state(std::string_view text, vm_state& out) noexcept;

} // namespace cornellever::standin
