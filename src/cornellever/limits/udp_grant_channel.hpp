#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/limits/grant_message.hpp"

namespace cornellever::limits {

/// Asks other proxies for grants and answers theirs, one datagram each. A model
/// of `grant_channel`.
class udp_grant_channel {
public:
    /// What this proxy answers to a question for an account.
    using answerer = std::function<grant_response(const std::string& account)>;

    udp_grant_channel(asio::any_io_executor executor, answerer answer)
        : m_executor{executor}
        , m_socket{executor}
        , m_answer{std::move(answer)} {}

    /// Binds and begins to answer; `unavailable` when the address is taken.
    [[nodiscard]] result<void> start(const asio::ip::udp::endpoint& where);

    asio::awaitable<std::optional<grant_response>> ask(asio::ip::udp::endpoint to, std::string account,
                                                       boot_clock::time_point until);

private:
    struct pending {
        asio::steady_timer due;
        std::optional<grant_response> answer{};
    };

    asio::awaitable<void> receive();
    void take(std::string_view bytes, const asio::ip::udp::endpoint& from);

    static constexpr std::size_t largest_message_bytes = 512;

    asio::any_io_executor m_executor;
    asio::ip::udp::socket m_socket;
    answerer m_answer;
    std::uint64_t m_last_nonce{0};
    std::map<std::uint64_t, pending*> m_pending;
};

} // namespace cornellever::limits
