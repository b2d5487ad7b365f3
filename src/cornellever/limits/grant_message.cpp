#include "cornellever/limits/grant_message.hpp"

#include "cornellever/core/text_parsing.hpp"

namespace cornellever::limits {

namespace {

/// The first word of a request and of a response. A new message format that is incompatible with this one needs new
/// words.
constexpr std::string_view request_tag = "lq1";
constexpr std::string_view response_tag = "la1";

} // namespace

std::string encode(const grant_request& message) {
    return std::string{request_tag} + " " + std::to_string(message.nonce) + " " + message.account;
}

std::string encode(const grant_response& message) {
    return std::string{response_tag} + " " + std::to_string(message.nonce) + " " +
           std::to_string(static_cast<int>(message.outcome)) + " " + std::to_string(message.wait.count());
}

std::optional<grant_request> decode_grant_request(std::string_view bytes) {
    const bool tag_matches = next_word(bytes) == request_tag;
    const auto nonce = parse_unsigned(next_word(bytes));
    if (!tag_matches || !nonce || bytes.empty() || bytes.find(' ') != std::string_view::npos) {
        return std::nullopt;
    }
    return grant_request{*nonce, std::string{bytes}};
}

std::optional<grant_response> decode_grant_response(std::string_view bytes) {
    constexpr std::uint64_t max_wait_ms = 3'600'000;
    const bool tag_matches = next_word(bytes) == response_tag;
    const auto nonce = parse_unsigned(next_word(bytes));
    const auto outcome = parse_unsigned(next_word(bytes));
    const auto wait = parse_unsigned(bytes);
    if (!tag_matches || !nonce || !outcome || !wait ||
        *outcome > static_cast<std::uint64_t>(grant_outcome::not_coordinator) || *wait > max_wait_ms) {
        return std::nullopt;
    }
    return grant_response{*nonce, static_cast<grant_outcome>(*outcome),
                          std::chrono::milliseconds{static_cast<long long>(*wait)}};
}

} // namespace cornellever::limits
