#include "cornellever/limits/grant_message.hpp"

#include "cornellever/core/text_parsing.hpp"

namespace cornellever::limits {

namespace {

/// First words of a question and of an answer; another version gets others.
constexpr std::string_view question_word = "lq1";
constexpr std::string_view answer_word = "la1";

} // namespace

std::string encode(const grant_question& message) {
    return std::string{question_word} + " " + std::to_string(message.nonce) + " " + message.account;
}

std::string encode(const grant_answer& message) {
    return std::string{answer_word} + " " + std::to_string(message.nonce) + " " +
           std::to_string(static_cast<int>(message.outcome)) + " " + std::to_string(message.wait.count());
}

std::optional<grant_question> decode_question(std::string_view bytes) {
    const bool known = next_word(bytes) == question_word;
    const auto nonce = parse_unsigned(next_word(bytes));
    if (!known || !nonce || bytes.empty() || bytes.find(' ') != std::string_view::npos) {
        return std::nullopt;
    }
    return grant_question{*nonce, std::string{bytes}};
}

std::optional<grant_answer> decode_answer(std::string_view bytes) {
    constexpr std::uint64_t longest_wait_ms = 3'600'000;
    const bool known = next_word(bytes) == answer_word;
    const auto nonce = parse_unsigned(next_word(bytes));
    const auto outcome = parse_unsigned(next_word(bytes));
    const auto wait = parse_unsigned(bytes);
    if (!known || !nonce || !outcome || !wait || *outcome > static_cast<std::uint64_t>(grant_outcome::not_mine) ||
        *wait > longest_wait_ms) {
        return std::nullopt;
    }
    return grant_answer{*nonce, static_cast<grant_outcome>(*outcome),
                        std::chrono::milliseconds{static_cast<long long>(*wait)}};
}

} // namespace cornellever::limits
