#include "cornellever/core/state_chart.hpp"

#include "cornellever/ini/reader.hpp"

namespace cornellever {

namespace {

constexpr std::string_view section_prefix = "state ";
constexpr std::string_view action_key = "do";

} // namespace

result<state_chart> state_chart::parse(std::string_view text, std::string_view name) {
    ini::document document;
    ini::read_text(text, name, document);
    auto findings = document.findings;
    state_chart out;
    for (const auto& header : document.sections) {
        if (!header.section.starts_with(section_prefix)) {
            findings.push_back({header.where, "[" + header.section + "] is not [state NAME]"});
        }
    }
    for (const auto& item : document.entries) {
        if (!item.section.starts_with(section_prefix)) {
            continue;
        }
        const auto state_name = item.section.substr(section_prefix.size());
        if (out.m_initial_state.empty()) {
            out.m_initial_state = state_name;
        }
        auto& target = out.m_states[state_name];
        if (item.key == action_key) {
            target.action = item.value;
        } else {
            target.transitions[item.key] = item.value;
        }
    }
    for (const auto& [state_name, item] : out.m_states) {
        if (item.action.empty()) {
            findings.push_back({{std::string{name}, 0}, "state " + state_name + " has no action"});
        }
    }
    if (!findings.empty()) {
        std::string message;
        for (const auto& item : findings) {
            message += (message.empty() ? "" : "; ") + ini::to_string(item);
        }
        return fail(errc::bad_request, message);
    }
    return out;
}

std::string_view state_chart::action(std::string_view state) const {
    const auto found = m_states.find(state);
    return found == m_states.end() ? std::string_view{} : found->second.action;
}

result<std::string> state_chart::next(std::string_view state, std::string_view event) const {
    const auto found = m_states.find(state);
    if (found != m_states.end()) {
        if (const auto to = found->second.transitions.find(event); to != found->second.transitions.end()) {
            return to->second;
        }
    }
    return fail(errc::internal, "the chart has no '" + std::string{event} + "' in state '" + std::string{state} + "'");
}

} // namespace cornellever
