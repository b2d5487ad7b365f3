#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornellever::standin {

/// A VM's state: running (`live`), about to be stopped (`leaving`) or removed
/// (`gone`). The state is reported by the platform, the external service that keeps
/// the configuration and the list of VMs of a deployment. `standin` simulates the
/// platform for tests.
enum class vm_state { live, leaving, gone };

/// One VM of the list. `kind` is what runs on the VM, such as "proxy" or
/// "backend", as given when the VM was registered.
struct vm {
    vm_state state{vm_state::live};
    std::string kind;
};

/// The simulated platform's list of VMs that are running or about to be stopped.
/// The list is eventually consistent: readers see a change only after the delay
/// `lag`.
class vm_list {
public:
    using clock = std::chrono::steady_clock;

    explicit vm_list(std::chrono::milliseconds lag) : m_lag{lag} {}

    /// Records the state and kind of the VM at `address`.
    void set(std::string address, vm value, clock::time_point now);

    /// Returns the list that readers see at `now`, without changes that are more
    /// recent than the lag.
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

/// Returns "live", "leaving" or "gone".
[[nodiscard]] std::string_view to_string(vm_state state) noexcept;

/// Parses the name of a state. Returns false when the name is unknown.
[[nodiscard]] bool parse_vm_state(std::string_view text, vm_state& out) noexcept;

} // namespace cornellever::standin
