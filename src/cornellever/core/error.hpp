#pragma once

#include <chrono>
#include <expected>
#include <string>
#include <string_view>

namespace cornellever {

/// What went wrong, in terms a caller can act on. Each code states whether
/// the request may have taken effect: see `guarantees_not_executed`.
enum class errc {
    bad_request,
    not_found,
    conflict,
    not_run,
    outcome_unknown,
    unavailable,
    behind,
    fenced,
    busy,
    internal,
};

/// An error with its code and a message for people.
struct error {
    errc code{errc::internal};
    std::string message;
    /// When a caller may usefully ask again; zero when nothing is known.
    std::chrono::milliseconds retry_after{0};
};

/// A value or the error that prevented it.
template <typename T>
using result = std::expected<T, error>;

/// Shorthand for returning an error from a function that yields `result`.
[[nodiscard]] inline std::unexpected<error> fail(errc code, std::string message) {
    return std::unexpected<error>{error{code, std::move(message), {}}};
}

/// As `fail`, telling the caller when to come back.
[[nodiscard]] inline std::unexpected<error> fail_with_retry_after(errc code, std::string message,
                                                                  std::chrono::milliseconds retry_after) {
    return std::unexpected<error>{error{code, std::move(message), retry_after}};
}

/// The stable lower-case name of a code, as it appears on the wire and in logs.
[[nodiscard]] std::string_view to_string(errc code) noexcept;

/// The code named by `name`; `errc::internal` for an unknown name.
[[nodiscard]] errc errc_from_string(std::string_view name) noexcept;

/// True when an error with this code guarantees the request never took effect.
/// `outcome_unknown` and `internal` do not; every refusal before execution does.
[[nodiscard]] bool guarantees_not_executed(errc code) noexcept;

} // namespace cornellever
