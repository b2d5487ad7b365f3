#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellever::limits {

/// Asks a coordinator to let one operation of an account run.
struct grant_question {
    std::uint64_t nonce{0};
    std::string account;
};

enum class grant_outcome {
    granted,
    /// The coordinator's share is used up.
    used_up,
    /// The proxy that was asked coordinates nothing of this account, or does not
    /// know whether its configuration is current.
    not_mine,
};

/// The answer to the question of that nonce.
struct grant_answer {
    std::uint64_t nonce{0};
    grant_outcome outcome{grant_outcome::not_mine};
    /// Of `used_up`: when the share has an operation again.
    std::chrono::milliseconds wait{0};
};

[[nodiscard]] std::string encode(const grant_question& message);
[[nodiscard]] std::string encode(const grant_answer& message);

/// Nothing when the bytes are not such a message.
[[nodiscard]] std::optional<grant_question> decode_question(std::string_view bytes);
[[nodiscard]] std::optional<grant_answer> decode_answer(std::string_view bytes);

} // namespace cornellever::limits
