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

/// What a role keeps per accepted connection, such as a backend's open
/// transaction; destroyed when the connection closes.
struct connection_state {
    virtual ~connection_state() = default;
};

/// One accepted connection as handlers see it.
struct connection {
    std::uint64_t id{0};
    tcp::endpoint peer;
    std::unique_ptr<connection_state> state;
    /// Set by a handler to stop answering on this connection for good while
    /// keeping it open (the stand-ins' "silent connection" fault).
    bool stop_answering{false};
    /// Set by a handler to close the connection without sending the answer
    /// (the stand-ins' "answer lost after the change took effect" fault).
    bool drop_answer{false};
    /// What a handler holds until its answer is written.
    std::shared_ptr<void> release_after_write;
};

/// A handler of one method: takes the params object, yields the result.
using handler = std::function<asio::awaitable<result<Json::Value>>(const Json::Value&, connection&)>;

/// JSON-RPC 2.0 over HTTP/1.1 keep-alive. Each connection answers its
/// requests in order, one at a time; connections run concurrently.
class server {
public:
    /// A server on `executor`; nothing is bound until `listen`.
    explicit server(const asio::any_io_executor& executor);

    /// Registers the handler of `method`; a later call replaces it.
    void on(std::string method, handler call);

    /// Binds and listens on `where`; `unavailable` when the address is taken.
    [[nodiscard]] result<tcp::endpoint> listen(const tcp::endpoint& where);

    /// Starts accepting connections.
    void start();

    /// Stops accepting new connections; open ones go on.
    void stop_accepting();

    /// From now on every answer tells the peer to take its next request
    /// elsewhere (HTTP `Connection: close`), so that a planned stop empties
    /// connections between requests and never in the middle of one.
    void drain() { m_draining = true; }

    /// True once `drain` was called.
    [[nodiscard]] bool draining() const noexcept { return m_draining; }

    /// Requests being handled right now.
    [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

    /// Connections open right now.
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_open; }

private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<std::string> dispatch(std::string_view body, connection& conn);
    asio::awaitable<result<Json::Value>> run(const handler& call, const Json::Value& params, connection& conn);

    asio::any_io_executor m_executor;
    tcp::acceptor m_acceptor;
    std::map<std::string, handler, std::less<>> m_handlers;
    std::uint64_t m_next_connection{1};
    std::size_t m_in_flight{0};
    std::size_t m_open{0};
    bool m_draining{false};
};

} // namespace cornellever::rpc
