#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cornellever/core/error.hpp"

namespace cornellever {

/// A finite state machine read from an INI file. Each state names the action to
/// run and, for each event that this action may return, the next state. A final
/// state has no section in the file.
class state_chart {
public:
    /// Parses a chart; `name` is the file name shown in error messages. The first
    /// section is the initial state. Returns `bad_request` with all errors found:
    /// syntax errors, sections that are not `[state NAME]` and states without the
    /// key `do`, which names the action.
    [[nodiscard]] static result<state_chart> parse(std::string_view text, std::string_view name);

    /// The initial state.
    [[nodiscard]] const std::string& start() const noexcept { return m_initial_state; }

    /// The action of `state`; empty for a final state.
    [[nodiscard]] std::string_view action(std::string_view state) const;

    /// Returns the state that follows `state` on `event`. Errors: `internal` when
    /// the chart has no such transition.
    [[nodiscard]] result<std::string> next(std::string_view state, std::string_view event) const;

private:
    struct state {
        std::string action;
        /// Maps each event to the next state.
        std::map<std::string, std::string, std::less<>> transitions;
    };

    std::string m_initial_state;
    std::map<std::string, state, std::less<>> m_states;
};

} // namespace cornellever
