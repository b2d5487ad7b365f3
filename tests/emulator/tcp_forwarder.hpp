#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cornellever/core/asio.hpp"
#include "cornellever/core/boot_clock.hpp"

namespace cornellever::emulator {

/// What a gateway does to the bytes that pass it.
struct network_faults {
    /// Connections opened before are silent for good; new ones work.
    std::uint64_t blackholed_before{0};
    /// Nothing passes, and nothing says so, until then.
    boot_clock::time_point partitioned_until{};
    /// Only what comes back is lost.
    bool drop_replies_only{false};
    /// Only for connections whose first bytes contain one of these; all when empty.
    std::set<std::string> match_first_bytes{};
    std::chrono::milliseconds delay{0};
};

/// A loopback proxy: passes connections on to a target and injects faults.
class tcp_forwarder {
public:
    tcp_forwarder(asio::io_context& io, tcp::endpoint listen, tcp::endpoint target);

    [[nodiscard]] const tcp::endpoint& address() const noexcept { return m_listen; }

    /// Stops listening, so that new connections are refused, or goes on.
    void accept_connections();
    void refuse_connections();

    /// Resets every connection.
    void reset_connections();
    /// Connections that are open now go silent for good.
    void blackhole_open_connections() { faults.blackholed_before = m_last_number + 1; }
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
