#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cornellever/core/error.hpp"

namespace cornellever {

/// A state chart read from an INI file: per state the action it runs and,
/// per event that action may end with, the next state. A state without an
/// action is final.
class state_chart {
public:
    /// Reads a chart whose first section is the start state. Errors:
    /// `bad_request` listing every finding with its line: a section that is
    /// not `[state NAME]`, a state without `do`.
    [[nodiscard]] static result<state_chart> parse(std::string_view text, std::string_view name);

    /// The state to begin in.
    [[nodiscard]] const std::string& start() const noexcept { return m_start; }

    /// The action of `state`; empty for a final state.
    [[nodiscard]] std::string_view action(std::string_view state) const;

    /// Where `event` leads from `state`. Errors: `internal` when the chart
    /// does not say.
    [[nodiscard]] result<std::string> next(std::string_view state, std::string_view event) const;

private:
    struct state {
        std::string action;
        std::map<std::string, std::string, std::less<>> on;
    };

    std::string m_start;
    std::map<std::string, state, std::less<>> m_states;
};

} // namespace cornellever
