#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cornellever/core/error.hpp"

namespace cornellever {

/// A finite state machine defined by an INI file. Each state names the action
/// to run, and the next state for each event that the action may return. A
/// state without an action is final.
class state_chart {
public:
    /// Parses a chart; `name` is its file name in error messages. The first
    /// section is the initial state. Errors: `bad_request`, listing every
    /// finding with its line: syntax errors, a section that is not
    /// `[state NAME]`, a state without `do`.
    [[nodiscard]] static result<state_chart> parse(std::string_view text, std::string_view name);

    /// The initial state.
    [[nodiscard]] const std::string& start() const noexcept { return m_initial_state; }

    /// The action of `state`; empty for a final state.
    [[nodiscard]] std::string_view action(std::string_view state) const;

    /// The state that follows `state` on `event`. Errors: `internal` when the
    /// chart has no such transition.
    [[nodiscard]] result<std::string> next(std::string_view state, std::string_view event) const;

private:
    struct state {
        std::string action;
        /// By event, the next state.
        std::map<std::string, std::string, std::less<>> transitions;
    };

    std::string m_initial_state;
    std::map<std::string, state, std::less<>> m_states;
};

} // namespace cornellever
