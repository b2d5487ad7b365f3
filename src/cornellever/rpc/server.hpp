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

/// Base of the state that handlers keep per connection, such as an open
/// transaction; destroyed when the connection closes.
struct connection_state {
    virtual ~connection_state() = default;
};

/// An accepted connection, as passed to handlers.
struct connection {
    std::uint64_t id{0};
    tcp::endpoint peer;
    std::unique_ptr<connection_state> state;
    /// Set by a handler to keep the connection open without ever answering on it
    /// again; fault injection in stand-in servers.
    bool stop_answering{false};
    /// Set by a handler to close the connection without sending the answer of a
    /// request that took effect; fault injection in stand-in servers.
    bool drop_answer{false};
    /// Set by a handler to an object to be released once its answer is written.
    std::shared_ptr<void> release_after_write;
};

/// Handles the calls of one method; gets the params object.
using handler = std::function<asio::awaitable<result<Json::Value>>(const Json::Value&, connection&)>;

/// A JSON-RPC 2.0 server over HTTP/1.1 with keep-alive. The requests of one
/// connection are handled one at a time, in order; connections are concurrent.
class server {
public:
    /// Nothing is bound before `listen`.
    explicit server(const asio::any_io_executor& executor);

    /// Registers the handler of `method`, or replaces it.
    void on(std::string method, handler method_handler);

    /// Binds and listens, and returns the bound address. Errors: `unavailable`
    /// when the address cannot be bound.
    [[nodiscard]] result<tcp::endpoint> listen(const tcp::endpoint& listen_address);

    void start();

    /// Stops accepting new connections; open ones are still served.
    void stop_accepting();

    /// Closes every connection after its next response, which carries HTTP
    /// `Connection: close`: clients reconnect elsewhere between two requests, and
    /// a planned stop interrupts no request.
    void drain() { m_draining = true; }

    [[nodiscard]] bool draining() const noexcept { return m_draining; }

    /// The number of requests received but not yet answered.
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
