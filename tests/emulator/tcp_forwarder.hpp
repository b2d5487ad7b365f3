#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::emulator {

/// Network faults that a `tcp_forwarder` applies to the bytes it forwards.
struct network_faults {
    /// Connections with a smaller number are blackholed: every byte is dropped
    /// and the client's side stays open. Later connections work.
    std::uint64_t blackholed_before{0};
    /// Until this time all bytes are dropped without an error to either end.
    boot_clock::time_point partitioned_until{};
    /// During a partition, drops only bytes from the server to the client.
    bool drop_replies_only{false};
    /// Limits the partition to connections whose first bytes contain one of
    /// these strings; empty: all connections.
    std::set<std::string> match_first_bytes{};
    /// Added to each chunk in either direction.
    std::chrono::milliseconds delay{0};
};

/// Accepts TCP connections on one endpoint, forwards them to another, and
/// injects network faults in between.
class tcp_forwarder {
public:
    tcp_forwarder(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target);

    [[nodiscard]] const tcp::endpoint& address() const noexcept { return m_listen; }

    /// Listens; throws `std::runtime_error` when the address cannot be bound.
    void accept_connections();
    /// Stops listening, so that new connections are refused, and resets open ones.
    void refuse_connections();

    /// Resets every open connection (TCP RST).
    void reset_connections();
    /// Drops everything on the connections open now, for the rest of their life.
    void blackhole_open_connections() { faults.blackholed_before = m_last_number + 1; }
    /// Starts a partition of this length; see `network_faults` for its scope.
    void partition_for(std::chrono::milliseconds span, bool drop_replies_only, std::set<std::string> match_first_bytes);

    network_faults faults;

private:
    struct forwarded_connection;

    asio::awaitable<void> run_connection(std::shared_ptr<forwarded_connection> connection);
    asio::awaitable<void> forward_bytes(std::shared_ptr<forwarded_connection> connection, bool to_client);
    asio::awaitable<void> close_server_side(std::shared_ptr<forwarded_connection> connection);
    [[nodiscard]] bool drops(const forwarded_connection& connection, bool to_client) const;

    asio::io_context& m_io;
    tcp::endpoint m_listen;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<forwarded_connection>> m_connections;
    std::uint64_t m_last_number{0};
};

} // namespace cornellever::emulator
