#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::limits {

/// Asks a coordinator (a proxy that grants a share of an account's rate limit) to grant one operation of an account.
struct grant_request {
    std::uint64_t nonce{0};
    std::string account;
};

enum class grant_outcome {
    granted,
    /// The share of the limit that the coordinator may grant is used up.
    used_up,
    /// The proxy that was asked does not coordinate this account's limit, or its configuration lease has expired.
    not_coordinator,
};

/// The response to the request with the same nonce.
struct grant_response {
    std::uint64_t nonce{0};
    grant_outcome outcome{grant_outcome::not_coordinator};
    /// The time until the coordinator's share has a token again; only set if `outcome` is `used_up`.
    std::chrono::milliseconds wait{0};
};

[[nodiscard]] std::string encode(const grant_request& message);
[[nodiscard]] std::string encode(const grant_response& message);

/// Decodes a message. Returns nothing if `bytes` is not a valid message of that type.
[[nodiscard]] std::optional<grant_request> decode_grant_request(std::string_view bytes);
[[nodiscard]] std::optional<grant_response> decode_grant_response(std::string_view bytes);

} // namespace cornellever::limits
