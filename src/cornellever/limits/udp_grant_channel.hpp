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

/// Exchanges grant messages with other proxies, each in one UDP datagram. Satisfies the concept `grant_channel`.
class udp_grant_channel {
public:
    /// Returns the response to another proxy's grant request for an account.
    using request_handler = std::function<grant_response(const std::string& account)>;

    udp_grant_channel(asio::any_io_executor executor, request_handler handler)
        : m_executor{executor}
        , m_socket{executor}
        , m_handler{std::move(handler)} {}

    /// Binds the socket and starts to respond to requests. Returns the error `unavailable` if the address cannot be
    /// bound.
    [[nodiscard]] result<void> start(const asio::ip::udp::endpoint& address);

    /// Requests a grant. Returns nothing if no response arrives by `until`.
    asio::awaitable<std::optional<grant_response>> request_grant(asio::ip::udp::endpoint to, std::string account,
                                                                 boot_clock::time_point until);

private:
    struct pending_request {
        asio::steady_timer deadline;
        std::optional<grant_response> response{};
    };

    asio::awaitable<void> receive();
    void handle_datagram(std::string_view bytes, const asio::ip::udp::endpoint& from);

    static constexpr std::size_t max_message_bytes = 512;

    asio::any_io_executor m_executor;
    asio::ip::udp::socket m_socket;
    request_handler m_handler;
    std::uint64_t m_last_nonce{0};
    std::map<std::uint64_t, pending_request*> m_pending;
};

} // namespace cornellever::limits
