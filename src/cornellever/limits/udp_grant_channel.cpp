#include "cornellever/limits/udp_grant_channel.hpp"

#include <array>
#include <random>
#include <utility>

namespace cornellever::limits {

result<void> udp_grant_channel::start(const asio::ip::udp::endpoint& address) {
    boost::system::error_code ec;
    m_socket.open(asio::ip::udp::v4(), ec);
    m_socket.bind(address, ec);
    m_socket.non_blocking(true, ec);
    if (ec) {
        return fail(errc::unavailable, "cannot bind the address for limits: " + ec.message());
    }
    // Nonces start at a random value so that they differ from those of the previous process. Otherwise a late response
    // to the previous process could be taken for the response to a request of this one.
    m_last_nonce = std::uint64_t{std::random_device{}()} << 32U;
    asio::co_spawn(m_executor, receive(), asio::detached);
    return {};
}

asio::awaitable<std::optional<grant_response>>
udp_grant_channel::request_grant(asio::ip::udp::endpoint to, std::string account, boot_clock::time_point until) {
    pending_request own{asio::steady_timer{m_executor}};
    const auto nonce = ++m_last_nonce;
    m_pending.emplace(nonce, &own);
    const auto bytes = encode(grant_request{nonce, std::move(account)});
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
    own.deadline.expires_after(until - boot_clock::now());
    co_await own.deadline.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_pending.erase(nonce);
    co_return own.response;
}

asio::awaitable<void> udp_grant_channel::receive() {
    constexpr std::chrono::milliseconds retry_delay{20};
    std::array<char, max_message_bytes> buffer{};
    for (;;) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        const auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                               asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_await sleep_for(retry_delay);
            continue;
        }
        handle_datagram({buffer.data(), size}, from);
    }
}

void udp_grant_channel::handle_datagram(std::string_view bytes, const asio::ip::udp::endpoint& from) {
    if (const auto request = decode_grant_request(bytes)) {
        auto response = m_handler(request->account);
        response.nonce = request->nonce;
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(encode(response)), from, 0, ignored);
        return;
    }
    const auto response = decode_grant_response(bytes);
    if (!response) {
        return;
    }
    if (const auto found = m_pending.find(response->nonce); found != m_pending.end()) {
        found->second->response = *response;
        found->second->deadline.cancel();
    }
}

} // namespace cornellever::limits
