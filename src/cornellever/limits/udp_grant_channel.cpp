#include "cornellever/limits/udp_grant_channel.hpp"

#include <array>
#include <random>
#include <utility>

namespace cornellever::limits {

result<void> udp_grant_channel::start(const asio::ip::udp::endpoint& where) {
    boost::system::error_code ec;
    m_socket.open(asio::ip::udp::v4(), ec);
    m_socket.bind(where, ec);
    m_socket.non_blocking(true, ec);
    if (ec) {
        return fail(errc::unavailable, "cannot bind the address for limits: " + ec.message());
    }
    // An answer to a question of the process before must not be taken for one of
    // this process's.
    m_last_nonce = std::uint64_t{std::random_device{}()} << 32U;
    asio::co_spawn(m_executor, receive(), asio::detached);
    return {};
}

asio::awaitable<std::optional<grant_response>> udp_grant_channel::ask(asio::ip::udp::endpoint to, std::string account,
                                                                      boot_clock::time_point until) {
    pending mine{asio::steady_timer{m_executor}};
    const auto nonce = ++m_last_nonce;
    m_pending.emplace(nonce, &mine);
    const auto bytes = encode(grant_request{nonce, std::move(account)});
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), to, 0, ignored);
    mine.due.expires_after(until - boot_clock::now());
    co_await mine.due.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_pending.erase(nonce);
    co_return mine.answer;
}

asio::awaitable<void> udp_grant_channel::receive() {
    constexpr std::chrono::milliseconds pause{20};
    std::array<char, largest_message_bytes> buffer{};
    for (;;) {
        asio::ip::udp::endpoint from;
        boost::system::error_code ec;
        const auto size = co_await m_socket.async_receive_from(asio::buffer(buffer), from,
                                                               asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_await sleep_for(pause);
            continue;
        }
        take({buffer.data(), size}, from);
    }
}

void udp_grant_channel::take(std::string_view bytes, const asio::ip::udp::endpoint& from) {
    if (const auto question = decode_grant_request(bytes)) {
        auto answer = m_answer(question->account);
        answer.nonce = question->nonce;
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(encode(answer)), from, 0, ignored);
        return;
    }
    const auto answer = decode_grant_response(bytes);
    if (!answer) {
        return;
    }
    if (const auto found = m_pending.find(answer->nonce); found != m_pending.end()) {
        found->second->answer = *answer;
        found->second->due.cancel();
    }
}

} // namespace cornellever::limits
