#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio.hpp>

namespace cornellever {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

/// Parses `host:port`, where the host is a numeric IP address; names are not
/// resolved. Returns false and leaves `out` unchanged when `text` has another
/// form.
[[nodiscard]] bool parse_endpoint(std::string_view text, tcp::endpoint& out);

/// Formats an endpoint as `address:port`.
[[nodiscard]] std::string to_string(const tcp::endpoint& socket_address);

/// Suspends the calling coroutine for `duration`.
asio::awaitable<void> sleep_for(std::chrono::milliseconds duration);

} // namespace cornellever
