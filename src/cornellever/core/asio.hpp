#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

namespace cornellever {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;

/// Parses "host:port" into an endpoint; no name lookup, addresses are IP numbers.
[[nodiscard]] bool parse_endpoint(std::string_view text, tcp::endpoint& out);

} // namespace cornellever
