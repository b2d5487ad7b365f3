#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::standin {

/// A VM's state as the platform reports it: running, about to be stopped, or
/// removed.
enum class vm_state { live, leaving, gone };

/// One VM of the list. `kind` is what runs on it, such as "proxy" or "backend",
/// as given at its registration.
struct vm {
    vm_state state{vm_state::live};
    std::string kind;
};

/// The platform's list of live and leaving VMs. It is eventually consistent:
/// readers see a change only `lag` after it was made.
class vm_list {
public:
    using clock = std::chrono::steady_clock;

    explicit vm_list(std::chrono::milliseconds lag) : m_lag{lag} {}

    /// Records the state and kind of the VM at `address`.
    void set(std::string address, vm value, clock::time_point now);

    /// The list that readers see at `now`, without changes younger than the lag.
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

/// Parses a state name; false when it is unknown.
[[nodiscard]] bool parse_vm_state(std::string_view text, vm_state& out) noexcept;

} // namespace cornellever::standin
