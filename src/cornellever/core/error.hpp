#pragma once

#include <chrono>
#include <expected>
#include <string>
#include <string_view>

namespace cornellever {

/// Error codes, distinguished by how the receiver of the error can react. Each
/// code also states whether the request may have taken effect: see
/// `guarantees_not_executed`.
enum class errc {
    /// The request is malformed or invalid.
    bad_request,
    not_found,
    /// The request conflicts with the current state, for example with a row's
    /// version or with a constraint.
    conflict,
    /// The request was not executed, or the effects of the request were undone.
    not_run,
    /// The request may or may not have been executed.
    outcome_unknown,
    /// The target cannot be reached or currently serves no requests.
    unavailable,
    /// The server has not yet reached the log position that the request requires.
    behind,
    /// The term or fencing token of the request is outdated or is not the
    /// server's.
    fenced,
    /// No capacity is left; a later retry may succeed.
    busy,
    /// Any other error.
    internal,
};

/// An error code with a human-readable message.
struct error {
    errc code{errc::internal};
    std::string message;
    /// How long to wait before a retry; zero when unknown.
    std::chrono::milliseconds retry_after{0};
};

/// Either a value or the error that prevented it.
template <typename T>
using result = std::expected<T, error>;

/// Returns an error from a function whose return type is `result`.
[[nodiscard]] inline std::unexpected<error> fail(errc code, std::string message) {
    return std::unexpected<error>{error{code, std::move(message), {}}};
}

/// As `fail`, and also sets `retry_after`.
[[nodiscard]] inline std::unexpected<error> fail_with_retry_after(errc code, std::string message,
                                                                  std::chrono::milliseconds retry_after) {
    return std::unexpected<error>{error{code, std::move(message), retry_after}};
}

/// Returns the name of a code in messages between processes and in logs; names
/// never change.
[[nodiscard]] std::string_view to_string(errc code) noexcept;

/// Returns the code with that name; `errc::internal` for an unknown name.
[[nodiscard]] errc errc_from_string(std::string_view name) noexcept;

/// Whether a request that failed with this code is guaranteed not to have taken
/// effect. True for every code but `outcome_unknown` and `internal`; a request
/// that is refused before its execution fails with one of the other codes.
[[nodiscard]] bool guarantees_not_executed(errc code) noexcept;

} // namespace cornellever
