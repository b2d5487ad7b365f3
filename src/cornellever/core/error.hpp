#pragma once

#include <chrono>
#include <expected>
#include <string>
#include <string_view>

namespace cornellever {

/// Error codes, by what the caller can do about them. Each code also states
/// whether the request may have taken effect: see `guarantees_not_executed`.
enum class errc {
    /// The request is malformed or invalid.
    bad_request,
    not_found,
    /// The request contradicts the current state, such as an expected version or a
    /// constraint.
    conflict,
    /// The request was not executed, or its effects were undone.
    not_run,
    /// The request may or may not have been executed.
    outcome_unknown,
    /// The target cannot be reached or does not serve.
    unavailable,
    /// The server has not reached the requested log position.
    behind,
    /// Refused for its term or fencing token, which is outdated or not the server's.
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
    /// How long the caller should wait before it retries; zero when unknown.
    std::chrono::milliseconds retry_after{0};
};

/// A value or the error that prevented it.
template <typename T>
using result = std::expected<T, error>;

/// Makes the error to return from a function whose return type is `result`.
[[nodiscard]] inline std::unexpected<error> fail(errc code, std::string message) {
    return std::unexpected<error>{error{code, std::move(message), {}}};
}

/// As `fail`, with a hint when the caller should retry.
[[nodiscard]] inline std::unexpected<error> fail_with_retry_after(errc code, std::string message,
                                                                  std::chrono::milliseconds retry_after) {
    return std::unexpected<error>{error{code, std::move(message), retry_after}};
}

/// The name of a code on the wire and in logs; names are stable.
[[nodiscard]] std::string_view to_string(errc code) noexcept;

/// The code of that name; `errc::internal` for an unknown name.
[[nodiscard]] errc errc_from_string(std::string_view name) noexcept;

/// Whether a request that failed with this code is guaranteed not to have taken
/// effect. True for every code but `outcome_unknown` and `internal`; a refusal
/// before execution has one of the others.
[[nodiscard]] bool guarantees_not_executed(errc code) noexcept;

} // namespace cornellever
