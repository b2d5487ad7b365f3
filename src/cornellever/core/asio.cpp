#include "cornellever/core/asio.hpp"

#include <charconv>
#include <string>

namespace cornellever {

bool parse_endpoint(std::string_view text, tcp::endpoint& out) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (ec != std::errc{} || end != port_text.data() + port_text.size() || port == 0 || port > 65535) {
        return false;
    }
    boost::system::error_code parse_error;
    const auto address = asio::ip::make_address(std::string{host}, parse_error);
    if (parse_error) {
        return false;
    }
    out = tcp::endpoint{address, static_cast<unsigned short>(port)};
    return true;
}

std::string to_string(const tcp::endpoint& socket_address) {
    return socket_address.address().to_string() + ":" + std::to_string(socket_address.port());
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds duration) {
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace cornellever
