#include "tcp_forwarder.hpp"

#include <algorithm>
#include <array>

#include "accept_each.hpp"
#include "platform/status_server.hpp"

namespace cornellever::emulator {

struct tcp_forwarder::forwarded_connection {
    forwarded_connection(asio::io_context& io, tcp::socket accepted, std::uint64_t connection_number)
        : client{std::move(accepted)}
        , server{io}
        , number{connection_number} {}

    void reset() {
        boost::system::error_code ignored_error;
        client.set_option(asio::socket_base::linger{true, 0}, ignored_error);
        client.close(ignored_error);
        server.close(ignored_error);
    }

    tcp::socket client;
    tcp::socket server;
    std::uint64_t number;
    /// The first chunk from the client; it identifies who connected.
    std::string first_bytes;
    /// Bytes were dropped, so no later byte may be delivered either.
    bool blackholed{false};
};

tcp_forwarder::tcp_forwarder(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target)
    : m_io{io}
    , m_listen{std::move(listen)}
    , m_target{std::move(target)}
    , m_acceptor{io} {}

void tcp_forwarder::accept_connections() {
    if (!m_acceptor.is_open()) {
        if (auto bound = platform::listen_on(m_acceptor, m_listen); !bound) {
            throw std::runtime_error{bound.error().message};
        }
        const auto on_accept = [this](tcp::socket socket) {
            asio::co_spawn(
                m_io, run_connection(std::make_shared<forwarded_connection>(m_io, std::move(socket), ++m_last_number)),
                asio::detached);
        };
        asio::co_spawn(m_io, accept_each(m_acceptor, on_accept), asio::detached);
    }
}

void tcp_forwarder::refuse_connections() {
    boost::system::error_code ignored_error;
    m_acceptor.close(ignored_error);
    reset_connections();
}

void tcp_forwarder::reset_connections() {
    for (const auto& item : m_connections) {
        item->reset();
    }
}

void tcp_forwarder::partition_for(std::chrono::milliseconds span, bool drop_replies_only,
                                  std::set<std::string> match_first_bytes) {
    faults.partitioned_until = boot_clock::now() + span;
    faults.drop_replies_only = drop_replies_only;
    faults.match_first_bytes = std::move(match_first_bytes);
}

bool tcp_forwarder::drops(const forwarded_connection& connection, bool to_client) const {
    if (connection.number < faults.blackholed_before) {
        return true;
    }
    if (boot_clock::now() >= faults.partitioned_until || (faults.drop_replies_only && !to_client)) {
        return false;
    }
    return faults.match_first_bytes.empty() || std::ranges::any_of(faults.match_first_bytes, [&](const auto& name) {
               return connection.first_bytes.find(name) != std::string::npos;
           });
}

asio::awaitable<void> tcp_forwarder::run_connection(std::shared_ptr<forwarded_connection> connection) {
    m_connections.insert(connection);
    boost::system::error_code ec;
    co_await connection->server.async_connect(m_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        connection->reset();
        m_connections.erase(connection);
        co_return;
    }
    connection->client.set_option(tcp::no_delay{true}, ec);
    connection->server.set_option(tcp::no_delay{true}, ec);
    asio::co_spawn(m_io, forward_bytes(connection, true), asio::detached);
    co_await forward_bytes(connection, false);
    m_connections.erase(connection);
}

/// Servers close a connection whose peer is unreachable; the client receives
/// no notice of it.
asio::awaitable<void> tcp_forwarder::close_server_side(std::shared_ptr<forwarded_connection> connection) {
    constexpr std::chrono::seconds dropped_after{3};
    co_await sleep_for(dropped_after);
    boost::system::error_code ignored_error;
    connection->server.close(ignored_error);
}

asio::awaitable<void> tcp_forwarder::forward_bytes(std::shared_ptr<forwarded_connection> connection, bool to_client) {
    auto& source = to_client ? connection->server : connection->client;
    auto& target = to_client ? connection->client : connection->server;
    std::array<char, 16384> chunk{};
    for (;;) {
        boost::system::error_code ec;
        const auto size =
            co_await source.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
        if (!to_client && connection->first_bytes.empty()) {
            connection->first_bytes.assign(chunk.data(), size);
        }
        if (faults.delay.count() > 0) {
            co_await sleep_for(faults.delay);
        }
        if (!connection->blackholed && drops(*connection, to_client)) {
            connection->blackholed = true;
            asio::co_spawn(m_io, close_server_side(connection), asio::detached);
        }
        if (connection->blackholed) {
            continue;
        }
        co_await asio::async_write(target, asio::buffer(chunk.data(), size),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            break;
        }
    }
    boost::system::error_code ignored_error;
    if (!connection->blackholed) {
        target.shutdown(tcp::socket::shutdown_send, ignored_error);
        if (ignored_error) {
            connection->reset();
        }
    }
}

} // namespace cornellever::emulator
