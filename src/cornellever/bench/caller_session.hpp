#pragma once

#include <chrono>
#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"
#include "cornellever/rpc/channel.hpp"

namespace cornellever::bench {

/// The database to which a run sends its statements.
struct target_database {
    std::string service;
    std::string database;
};

/// The session of a caller (a client application), kept as in a client library:
/// the session token of the latest response and one connection for each proxy in
/// use.
class caller_session {
public:
    caller_session(asio::any_io_executor executor, std::vector<tcp::endpoint> proxies, target_database target);

    /// Calls `method` on proxy `index`, adding service, database and session
    /// token to `params`, and stores the token of the response.
    asio::awaitable<result<Json::Value>> call(std::size_t index, std::string_view method, Json::Value params,
                                              std::chrono::milliseconds deadline);

    /// Closes the connection to proxy `index` without ending open transactions,
    /// like a caller that crashes.
    void drop_connection(std::size_t index) { m_links[index].reset(); }

    /// The number of proxies.
    [[nodiscard]] std::size_t proxies() const noexcept { return m_proxies.size(); }

private:
    asio::any_io_executor m_executor;
    std::vector<tcp::endpoint> m_proxies;
    std::vector<std::unique_ptr<rpc::channel>> m_links;
    target_database m_target;
    Json::Value m_session_token{Json::objectValue};
};

/// Returns the request params of a statement: the SQL text and one text parameter
/// per `bound`. Variadic because g++ 12 cannot compile initializer lists inside
/// `co_await` operands.
template <std::convertible_to<std::string>... Texts>
[[nodiscard]] Json::Value statement(std::string_view sql, const Texts&... bound) {
    Json::Value out;
    out["sql"] = std::string{sql};
    out["params"] = Json::arrayValue;
    (out["params"].append(std::string{bound}), ...);
    return out;
}

} // namespace cornellever::bench
