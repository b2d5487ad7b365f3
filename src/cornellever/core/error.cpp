#include "cornellever/core/error.hpp"

#include <array>
#include <utility>

namespace cornellever {

namespace {

constexpr std::array<std::pair<errc, std::string_view>, 10> code_names{{
    {errc::bad_request, "bad_request"},
    {errc::not_found, "not_found"},
    {errc::conflict, "conflict"},
    {errc::not_run, "not_run"},
    {errc::outcome_unknown, "outcome_unknown"},
    {errc::unavailable, "unavailable"},
    {errc::behind, "behind"},
    {errc::fenced, "fenced"},
    {errc::busy, "busy"},
    {errc::internal, "internal"},
}};

} // namespace

std::string_view to_string(errc code) noexcept {
    for (const auto& [value, name] : code_names) {
        if (value == code) {
            return name;
        }
    }
    return "internal";
}

errc errc_from_string(std::string_view name) noexcept {
    for (const auto& [value, known] : code_names) {
        if (known == name) {
            return value;
        }
    }
    return errc::internal;
}

bool guarantees_not_executed(errc code) noexcept {
    return code != errc::outcome_unknown && code != errc::internal;
}

} // namespace cornellever
