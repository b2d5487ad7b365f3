#pragma once

#include <chrono>
#include <cstddef>

namespace cornellever::routing::detail {

/// Maximum number of account connections that are being opened to one server concurrently. Each opening takes one of
/// the server's execution slots for as long as a short statement.
inline constexpr std::size_t max_openings = 2;

/// A connection beyond the budget is closed after being idle for this long. By then the connection's account has made
/// no request for the time of a few statements.
inline constexpr std::chrono::milliseconds surplus_after{300};

/// For this long after a server refused a connection at its limit, this proxy does not exceed its budget on that
/// server. The server counts the connections of processes that lost power for another 3 s. If this proxy opened more
/// connections in that time, proxies without any connection could not reconnect.
inline constexpr std::chrono::milliseconds limit_reached_for{3500};

} // namespace cornellever::routing::detail
