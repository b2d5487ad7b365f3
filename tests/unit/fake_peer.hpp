#pragma once

#include <functional>
#include <string>

#include "cornellever/core/asio.hpp"

namespace cornellever::test {

/// Runs `io` until the coroutine has finished and rethrows its exception.
template <typename Body>
void run_coroutine(asio::io_context& io, Body body) {
    std::exception_ptr thrown;
    asio::co_spawn(io, std::move(body), [&](std::exception_ptr problem) {
        thrown = problem;
        io.stop();
    });
    io.run();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

/// An HTTP server whose responses, as raw bytes, are chosen by the test. `reply`
/// gets the number of the request on its connection, from 0, and the request's
/// body; it returns an empty string to send nothing.
class fake_peer {
public:
    using reply = std::function<std::string(std::size_t, const std::string&)>;

    fake_peer(asio::io_context& io, reply answer)
        : m_acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}}
        , m_reply{std::move(answer)} {
        asio::co_spawn(io, accept(), asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

    [[nodiscard]] std::size_t connections() const noexcept { return m_connections; }

    /// An HTTP response with `body`; a `length` other than 0 replaces the
    /// `Content-Length`.
    [[nodiscard]] static std::string http(const std::string& body, std::size_t length = 0) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length == 0 ? body.size() : length) + "\r\n\r\n" +
               body;
    }

private:
    asio::awaitable<void> accept() {
        for (;;) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++m_connections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        std::string text;
        for (std::size_t number = 0;; ++number) {
            boost::system::error_code ec;
            const auto head = co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
                                                              asio::redirect_error(asio::use_awaitable, ec));
            if (ec) {
                co_return;
            }
            const auto at = text.find("Content-Length: ");
            const auto length = std::stoul(text.substr(at + std::string_view{"Content-Length: "}.size()));
            if (text.size() < head + length) {
                co_await asio::async_read(socket, asio::dynamic_buffer(text),
                                          asio::transfer_at_least(head + length - text.size()),
                                          asio::redirect_error(asio::use_awaitable, ec));
            }
            const auto bytes = m_reply(number, text.substr(head, length));
            text.erase(0, head + length);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    tcp::acceptor m_acceptor;
    reply m_reply;
    std::size_t m_connections{0};
};

} // namespace cornellever::test
