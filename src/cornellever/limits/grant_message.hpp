#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::limits {

/// Asks a coordinator to let one operation of an account run.
struct grant_request {
    std::uint64_t nonce{0};
    std::string account;
};

enum class grant_outcome {
    granted,
    /// The coordinator's share is used up.
    used_up,
    /// The proxy that was asked coordinates nothing of this account, or does not
    /// know whether its configuration is current.
    not_coordinator,
};

/// The answer to the question of that nonce.
struct grant_response {
    std::uint64_t nonce{0};
    grant_outcome outcome{grant_outcome::not_coordinator};
    /// Of `used_up`: when the share has an operation again.
    std::chrono::milliseconds wait{0};
};

[[nodiscard]] std::string encode(const grant_request& message);
[[nodiscard]] std::string encode(const grant_response& message);

/// Nothing when the bytes are not such a message.
[[nodiscard]] std::optional<grant_request> decode_grant_request(std::string_view bytes);
[[nodiscard]] std::optional<grant_response> decode_grant_response(std::string_view bytes);

} // namespace cornellever::limits
