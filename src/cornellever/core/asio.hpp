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

/// Parses "host:port" into an endpoint; no name lookup, addresses are IP numbers.
[[nodiscard]] bool parse_endpoint(std::string_view text, tcp::endpoint& out);

/// Formats an endpoint as `address:port`.
[[nodiscard]] std::string to_string(const tcp::endpoint& where);

/// Suspends the calling coroutine for `duration`.
asio::awaitable<void> sleep_for(std::chrono::milliseconds duration);

} // namespace cornellever
