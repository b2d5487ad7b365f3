#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <jsoncpp/json/value.h>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/error.hpp"

namespace cornellever::rpc {

/// Base class of the state that handlers keep for each connection, such as an
/// open transaction. The state is destroyed when the connection closes.
struct connection_state {
    virtual ~connection_state() = default;
};

/// An accepted connection, as passed to handlers.
struct connection {
    std::uint64_t id{0};
    tcp::endpoint peer;
    std::unique_ptr<connection_state> state;
    /// Set by a handler to keep the connection open without sending any further
    /// response. Used for fault injection in stand-in servers, which simulate
    /// other systems in tests.
    bool stop_answering{false};
    /// Set by a handler to close the connection without sending the response to a
    /// request that took effect. Used for fault injection in stand-in servers.
    bool drop_answer{false};
    /// Set by a handler to an object that is released once the handler's response
    /// is written.
    std::shared_ptr<void> release_after_write;
};

/// Handles the calls of one method; receives the request's params object.
using handler = std::function<asio::awaitable<result<Json::Value>>(const Json::Value&, connection&)>;

/// A JSON-RPC 2.0 server over HTTP/1.1 with keep-alive. Handles the requests of
/// one connection one at a time, in order, and different connections
/// concurrently.
class server {
public:
    /// The server binds no address before `listen`.
    explicit server(const asio::any_io_executor& executor);

    /// Registers the handler of `method`, replacing an earlier one.
    void on(std::string method, handler method_handler);

    /// Binds and listens, and returns the bound address. Errors: `unavailable`
    /// when the address cannot be bound.
    [[nodiscard]] result<tcp::endpoint> listen(const tcp::endpoint& listen_address);

    void start();

    /// Stops accepting new connections; open connections are still served.
    void stop_accepting();

    /// Closes every connection after its next response, which has the HTTP header
    /// `Connection: close`. Clients then reconnect to another server between two
    /// requests, so that a planned shutdown interrupts no request.
    void drain() { m_draining = true; }

    [[nodiscard]] bool draining() const noexcept { return m_draining; }

    /// The number of requests that were received but not yet answered.
    [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

    [[nodiscard]] std::size_t open_connections() const noexcept { return m_open; }

private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<std::string> dispatch(std::string_view body, connection& conn);
    asio::awaitable<result<Json::Value>> run(const handler& method_handler, const Json::Value& params,
                                             connection& conn);

    asio::any_io_executor m_executor;
    tcp::acceptor m_acceptor;
    std::map<std::string, handler, std::less<>> m_handlers;
    std::uint64_t m_next_connection{1};
    std::size_t m_in_flight{0};
    std::size_t m_open{0};
    bool m_draining{false};
};

} // namespace cornellever::rpc
