#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::limits {

/// Asks a coordinator to grant one operation of an account.
struct grant_request {
    std::uint64_t nonce{0};
    std::string account;
};

enum class grant_outcome {
    granted,
    /// The coordinator's share is used up.
    used_up,
    /// The proxy does not coordinate this account's limit, or its configuration is not confirmed current.
    not_coordinator,
};

/// The response to the request with the same nonce.
struct grant_response {
    std::uint64_t nonce{0};
    grant_outcome outcome{grant_outcome::not_coordinator};
    /// With `used_up`: time until the share has a token again.
    std::chrono::milliseconds wait{0};
};

[[nodiscard]] std::string encode(const grant_request& message);
[[nodiscard]] std::string encode(const grant_response& message);

/// Decodes a message; nothing when `bytes` is not a valid one of that type.
[[nodiscard]] std::optional<grant_request> decode_grant_request(std::string_view bytes);
[[nodiscard]] std::optional<grant_response> decode_grant_response(std::string_view bytes);

} // namespace cornellever::limits
