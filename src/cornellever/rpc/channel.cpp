#include "cornellever/rpc/channel.hpp"

#include <boost/beast/http.hpp>

#include "cornellever/rpc/envelope.hpp"
#include "cornellever/rpc/idle_timeout_read.hpp"

namespace cornellever::rpc {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

std::string describe(const tcp::endpoint& peer) {
    return peer.address().to_string() + ":" + std::to_string(peer.port());
}

} // namespace

channel::channel(asio::any_io_executor executor, tcp::endpoint peer)
    : m_stream{std::move(executor)}
    , m_peer{std::move(peer)} {}

void channel::close() {
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
    m_buffer.clear();
    m_connected = false;
}

void channel::close_as_broken() {
    m_broken = true;
    close();
}

bool channel::stale() {
    if (!m_connected) {
        return false;
    }
    char byte = 0;
    boost::system::error_code ec;
    auto& socket = m_stream.socket();
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec != asio::error::would_block;
}

asio::awaitable<result<void>> channel::connect() {
    boost::system::error_code ec;
    co_await m_stream.async_connect(m_peer, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        m_stream.close();
        co_return fail(errc::unavailable, "cannot connect to " + describe(m_peer) + ": " + ec.message());
    }
    m_stream.socket().set_option(tcp::no_delay{true}, ec);
    m_stream.socket().set_option(asio::socket_base::keep_alive{true}, ec);
    m_connected = true;
    co_return result<void>{};
}

asio::awaitable<result<Json::Value>> channel::call(std::string_view method, const Json::Value& params,
                                                   std::chrono::milliseconds time_limit,
                                                   std::optional<std::chrono::milliseconds> idle_timeout) {
    if (m_broken) {
        co_return fail(errc::unavailable, "channel to " + describe(m_peer) + " was closed after a failed call");
    }
    m_stream.expires_after(time_limit);
    if (!m_connected) {
        auto connected = co_await connect();
        if (!connected) {
            co_return std::unexpected{connected.error()};
        }
    }
    const auto id = m_next_id++;
    http::request<http::string_body> request{http::verb::post, "/", 11};
    request.set(http::field::host, describe(m_peer));
    request.set(http::field::content_type, "application/json");
    request.keep_alive(true);
    request.body() = encode_request(id, method, params);
    request.prepare_payload();

    boost::system::error_code ec;
    m_bytes_sent += co_await http::async_write(m_stream, request, asio::redirect_error(asio::use_awaitable, ec));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    if (!ec && idle_timeout) {
        m_bytes_received += co_await read_with_idle_timeout(m_stream, m_buffer, parser, *idle_timeout, ec);
    } else if (!ec) {
        m_bytes_received +=
            co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
        // The request may have been executed: a timeout or a closed connection
        // after sending does not show whether the server received the request.
        close_as_broken();
        co_return fail(errc::outcome_unknown,
                       std::string{method} + " to " + describe(m_peer) + " got no whole answer: " + ec.message());
    }
    m_stream.expires_never();
    const auto answer = parse_json(parser.get().body());
    if (!is_response_to(answer, id)) {
        // The response has the id of another request, so the response is late or
        // out of order. Later responses on this connection could also be matched
        // with the wrong request, so the connection is closed.
        close_as_broken();
        co_return fail(errc::outcome_unknown, std::string{method} + " to " + describe(m_peer) +
                                                  " was answered with the answer to another request");
    }
    if (!parser.get().keep_alive()) {
        close();
    }
    co_return decode_response(*answer);
}

result<Json::Value> call_blocking(const tcp::endpoint& peer, std::string_view method, const Json::Value& params,
                                  std::chrono::milliseconds time_limit) {
    asio::io_context io;
    channel link{io.get_executor(), peer};
    result<Json::Value> answer = fail(errc::internal, "not called");
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { answer = co_await link.call(method, params, time_limit); },
        asio::detached);
    io.run();
    return answer;
}

} // namespace cornellever::rpc
