#include "cornellever/standin/vm_list.hpp"

namespace cornellever::standin {

void vm_list::set(std::string address, vm value, clock::time_point now) {
    m_changes.push_back(change{now, std::move(address), std::move(value)});
}

std::map<std::string, vm> vm_list::visible_at(clock::time_point now) const {
    std::map<std::string, vm> out;
    for (const auto& item : m_changes) {
        if (item.at + m_lag > now) {
            break;
        }
        if (item.value.state == vm_state::gone) {
            out.erase(item.address);
        } else {
            out[item.address] = item.value;
        }
    }
    return out;
}

std::string_view to_string(vm_state state) noexcept {
    switch (state) {
    case vm_state::live:
        return "live";
    case vm_state::leaving:
        return "leaving";
    case vm_state::gone:
        return "gone";
    }
    return "gone";
}

bool parse_vm_state(std::string_view text, vm_state& out) noexcept {
    for (const auto state : {vm_state::live, vm_state::leaving, vm_state::gone}) {
        if (to_string(state) == text) {
            out = state;
            return true;
        }
    }
    return false;
}

} // namespace cornellever::standin
