#include "cornellever/rpc/server.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "cornellever/core/log.hpp"
#include "cornellever/core/scoped_increment.hpp"
#include "cornellever/rpc/envelope.hpp"
#include "cornellever/rpc/idle_timeout_read.hpp"

namespace cornellever::rpc {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

} // namespace

server::server(const asio::any_io_executor& executor) : m_executor{executor}, m_acceptor{executor} {}

void server::on(std::string method, handler method_handler) {
    m_handlers[std::move(method)] = std::move(method_handler);
}

result<tcp::endpoint> server::listen(const tcp::endpoint& listen_address) {
    boost::system::error_code ec;
    m_acceptor.open(listen_address.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(asio::socket_base::reuse_address{true}, ec);
    }
    if (!ec) {
        m_acceptor.bind(listen_address, ec);
    }
    if (!ec) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return fail(errc::unavailable, "cannot listen on " + listen_address.address().to_string() + ":" +
                                           std::to_string(listen_address.port()) + ": " + ec.message());
    }
    return m_acceptor.local_endpoint();
}

void server::start() {
    asio::co_spawn(m_executor, accept_loop(), asio::detached);
}

void server::stop_accepting() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> server::accept_loop() {
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            if (!m_acceptor.is_open()) {
                co_return;
            }
            continue;
        }
        socket.set_option(tcp::no_delay{true}, ec);
        asio::co_spawn(m_executor, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> server::serve(tcp::socket socket) {
    scoped_increment open{m_open};
    connection conn;
    conn.id = m_next_connection++;
    boost::system::error_code ec;
    conn.peer = socket.remote_endpoint(ec);
    beast::tcp_stream stream{std::move(socket)};
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        // The request counts as in flight until its response is written: a
        // planned shutdown waits until no request is in flight.
        scoped_increment busy{m_in_flight};
        auto request = parser.release();
        auto body = co_await dispatch(request.body(), conn);
        if (conn.stop_answering) {
            // Keeps the connection open, without reading from the connection,
            // until the client times out.
            asio::steady_timer forever{m_executor, std::chrono::hours{24}};
            co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            co_return;
        }
        if (conn.drop_answer) {
            co_return;
        }
        http::response<http::string_body> response{http::status::ok, request.version()};
        response.set(http::field::content_type, "application/json");
        const bool keep_open = request.keep_alive() && !m_draining;
        response.keep_alive(keep_open);
        response.body() = std::move(body);
        response.prepare_payload();
        if (conn.release_after_write) {
            // Limits how long a client that has stopped reading can delay the
            // release.
            stream.expires_after(max_transfer_time);
        }
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
        stream.expires_never();
        conn.release_after_write.reset();
        if (ec || !keep_open) {
            co_return;
        }
    }
}

asio::awaitable<std::string> server::dispatch(std::string_view body, connection& conn) {
    auto decoded = decode_request(body);
    if (!decoded) {
        log_event(event::rpc_bad_request, "reason=\"" + decoded.error().message + "\"");
        co_return encode_response(Json::Value{}, std::unexpected{decoded.error()});
    }
    const auto found = m_handlers.find(decoded->method);
    if (found == m_handlers.end()) {
        co_return encode_response(decoded->id, fail(errc::bad_request, "unknown method '" + decoded->method + "'"));
    }
    auto answer = co_await run(found->second, decoded->params, conn);
    co_return encode_response(decoded->id, answer);
}

asio::awaitable<result<Json::Value>> server::run(const handler& method_handler, const Json::Value& params,
                                                 connection& conn) {
    // jsoncpp throws when a field has another type than expected. Malformed input
    // must fail only the request that contains the input, not terminate the
    // process.
    try {
        co_return co_await method_handler(params, conn);
    } catch (const std::exception& problem) {
        log_event(event::rpc_bad_request, "reason=\"" + std::string{problem.what()} + "\"");
        co_return fail(errc::internal, std::string{"the request could not be handled: "} + problem.what());
    }
}

} // namespace cornellever::rpc
